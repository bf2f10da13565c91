/** The entry's end of its link to one gate, and what it knows of the target. */

import type {InstanceId, RuleId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  CallId,
  RelayFrame,
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import type {TargetEstimate} from '@cassiaknot/routing';
import {SmoothedMeans} from '@cassiaknot/routing';
import {
  LINK_ABORT_AFTER_MS,
  LINK_PING_AFTER_MS,
  LINK_SUSPECT_AFTER_MS,
} from './constants.js';
import type {LossReason} from './outcome.js';

/** What a gate made of an offer, or the loss of the link to it. */
export type GateReply =
  | RelayFrameOf<'answer'>
  | RelayFrameOf<'refusal'>
  | {
      readonly kind: 'loss';
      readonly reason: LossReason;
      /** Left out where the link itself was lost. */
      readonly waitMs?: number;
    };

/** An offer before it is given a call id. */
export type NewOffer = Omit<RelayFrameOf<'offer'>, 'kind' | 'callId'>;

/** A call in flight. */
export interface PendingCall {
  readonly callId: CallId;
  readonly reply: Promise<GateReply>;
}

interface Pending {
  readonly isIdempotent: boolean;
  readonly ruleId: RuleId;
  readonly settle: (reply: GateReply) => void;
}

/** A wait as a gate told it. */
interface WaitReport {
  readonly waitMs: number;
  readonly atMs: number;
}

const NO_REPORT: WaitReport = {waitMs: 0, atMs: 0};

/** Routes whose last reported wait is kept; reports age within a second. */
const MAX_WAIT_REPORTS = 1_024;
/** Half-life of the memory of failures. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Weight of one outcome in the share of failures. */
const FAILURE_WEIGHT = 0.1;

/** One link to one gate. */
export class GateLink {
  private link: RelayLink | undefined;
  private isOpen = false;
  private target: RelayFrameOf<'target-state'> | undefined;
  private readonly pending = new Map<CallId, Pending>();
  private readonly runMeans = new SmoothedMeans<RuleId>();
  private verifiers: Array<(isVerified: boolean) => void> = [];
  private callCount = 0;
  private nonce = 0;
  private lastHeardMs = 0;
  private pingedAtMs: number | undefined;
  private coldUntilMs = 0;
  /** Waits that the gate told, by route. */
  private readonly waits = new Map<RuleId, WaitReport>();
  private unreported = 0;
  private failureShare = 0;
  private failureAtMs = 0;

  constructor(
    readonly instanceId: InstanceId,
    readonly isLocal: boolean,
    private readonly onClose: () => void,
    private readonly onTarget: (
      state: RelayFrameOf<'target-state'>,
    ) => void = () => undefined,
  ) {}

  /** Events for the transport that opens this link. */
  getEvents(): RelayLinkEvents {
    return {
      onOpen: link => {
        this.link = link;
        this.isOpen = true;
        this.lastHeardMs = performance.now();
      },
      onFrame: (_link, frame) => this.receive(frame),
      onClose: () => this.handleClose(),
    };
  }

  /** Sets the link that is being opened, so that it can be ended. */
  attach(link: RelayLink): void {
    this.link = link;
  }

  /** What the gate last told of its target; undefined if the link is down. */
  getTarget(): RelayFrameOf<'target-state'> | undefined {
    return this.isOpen ? this.target : undefined;
  }

  /** Whether a ping has been unanswered for long. */
  isSuspect(): boolean {
    if (this.pingedAtMs === undefined) return false;
    return performance.now() - this.pingedAtMs > LINK_SUSPECT_AFTER_MS;
  }

  /** Sends an offer. */
  offer(offer: NewOffer): PendingCall {
    this.callCount += 1;
    const callId = brandId<CallId>(this.callCount.toString(36));
    const {isIdempotent, ruleId} = offer;
    const reply = new Promise<GateReply>(resolve => {
      this.pending.set(callId, {isIdempotent, ruleId, settle: resolve});
      this.unreported += 1;
      const isSent = this.link?.send({kind: 'offer', callId, ...offer});
      if (isSent !== true) this.settle(callId, NOT_SENT);
    });
    return {callId, reply};
  }

  /** Withdraws an offer that is not answered yet. */
  cancel(callId: CallId): void {
    if (!this.pending.has(callId)) return;
    this.link?.send({kind: 'cancel', callId});
    this.settle(callId, {kind: 'loss', reason: 'cancelled'});
  }

  /** Whether the gate has been heard so lately that the link surely works. */
  isFresh(): boolean {
    return performance.now() - this.lastHeardMs < LINK_PING_AFTER_MS;
  }

  /** Asks the gate for a sign of life; `false` if none came in time. */
  verify(): Promise<boolean> {
    if (!this.isOpen) return Promise.resolve(false);
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve(false), LINK_SUSPECT_AFTER_MS);
      this.verifiers.push(isVerified => {
        clearTimeout(timer);
        resolve(isVerified);
      });
      this.ping();
    });
  }

  /** What is known of the target, for a choice. */
  estimate(ruleId: RuleId): TargetEstimate<GateLink> {
    const nowMs = performance.now();
    const report = this.waits.get(ruleId) ?? NO_REPORT;
    return {
      target: this,
      isLocal: this.isLocal,
      isSuspect: this.isSuspect(),
      slots: this.target?.slots ?? 1,
      runMs: this.runMeans.get(ruleId),
      reportedWaitMs: report.waitMs,
      reportAgeMs: nowMs - report.atMs,
      unreported: this.unreported,
      isCold: nowMs < this.coldUntilMs,
      failureShare: this.getFailureShare(nowMs),
    };
  }

  /** Records whether a run here went well. */
  recordOutcome(isFailure: boolean): void {
    const nowMs = performance.now();
    const share = this.getFailureShare(nowMs);
    this.failureShare = share + FAILURE_WEIGHT * (Number(isFailure) - share);
    this.failureAtMs = nowMs;
  }

  /** Pings a link that is silent while requests are in flight. */
  sweep(): void {
    if (!this.isOpen) return;
    const nowMs = performance.now();
    if (this.pingedAtMs !== undefined) {
      this.judgePing(nowMs - this.pingedAtMs);
      return;
    }
    if (this.pending.size > 0 && !this.isFresh()) this.ping();
  }

  /** Ends the link. */
  close(): void {
    this.link?.close();
  }

  private ping(): void {
    this.pingedAtMs ??= performance.now();
    this.nonce += 1;
    this.link?.send({kind: 'ping', nonce: this.nonce});
  }

  private judgePing(silentMs: number): void {
    if (silentMs > LINK_ABORT_AFTER_MS) {
      this.link?.abort();
      this.handleClose();
      return;
    }
    if (silentMs <= LINK_SUSPECT_AFTER_MS) return;
    // Idempotent requests go elsewhere; the others wait for their gate.
    for (const [callId, call] of [...this.pending]) {
      if (!call.isIdempotent) continue;
      this.link?.send({kind: 'cancel', callId});
      this.settle(callId, {kind: 'loss', reason: 'link-silent'});
    }
  }

  private receive(frame: RelayFrame): void {
    this.lastHeardMs = performance.now();
    this.pingedAtMs = undefined;
    this.settleVerifiers(true);
    switch (frame.kind) {
      case 'answer':
      case 'refusal':
      case 'loss':
        this.settle(frame.callId, toReply(frame));
        return;
      case 'target-state':
        this.target = frame;
        this.coldUntilMs = this.lastHeardMs + frame.coldMs;
        this.onTarget(frame);
        return;
      default:
        return;
    }
  }

  /** Learns how long a route runs at this target. */
  learnRun(ruleId: RuleId, runMs: number): void {
    if (runMs >= 0) this.runMeans.record(ruleId, runMs);
  }

  private learnLoad(ruleId: RuleId, waitMs: number): void {
    if (this.waits.size >= MAX_WAIT_REPORTS) this.waits.clear();
    this.waits.set(ruleId, {waitMs, atMs: this.lastHeardMs});
  }

  private settle(callId: CallId, reply: GateReply): void {
    const call = this.pending.get(callId);
    if (!call) return;
    this.pending.delete(callId);
    if (reply.waitMs !== undefined) {
      this.learnLoad(call.ruleId, reply.waitMs);
    }
    this.unreported = Math.max(0, this.unreported - 1);
    call.settle(reply);
  }

  private settleVerifiers(isVerified: boolean): void {
    const {verifiers} = this;
    if (verifiers.length === 0) return;
    this.verifiers = [];
    for (const verifier of verifiers) verifier(isVerified);
  }

  private handleClose(): void {
    const wasAttached = this.link !== undefined;
    this.isOpen = false;
    this.link = undefined;
    this.target = undefined;
    this.pingedAtMs = undefined;
    this.settleVerifiers(false);
    for (const callId of [...this.pending.keys()]) {
      this.settle(callId, {kind: 'loss', reason: 'link-lost'});
    }
    if (wasAttached) this.onClose();
  }

  private getFailureShare(nowMs: number): number {
    const ageMs = nowMs - this.failureAtMs;
    return this.failureShare * Math.pow(0.5, ageMs / FAILURE_HALF_LIFE_MS);
  }
}

const NOT_SENT: GateReply = {
  kind: 'refusal',
  callId: brandId<CallId>(''),
  reason: 'connect-failed',
  hasArrived: false,
  waitMs: 0,
  runMs: -1,
};

function toReply(
  frame: RelayFrameOf<'answer' | 'refusal' | 'loss'>,
): GateReply {
  if (frame.kind !== 'loss') return frame;
  const {waitMs} = frame;
  return {kind: 'loss', reason: toLossReason(frame.reason), waitMs};
}

const GATE_LOSS_REASONS: readonly LossReason[] = [
  'target-lost',
  'target-silent',
  'answer-cut',
  'answer-foreign',
  'answer-too-large',
  'timeout',
  'cancelled',
];

function toLossReason(text: string): LossReason {
  return GATE_LOSS_REASONS.find(reason => reason === text) ?? 'target-lost';
}
