/** Entry side of a link to one gate, with the load estimate of its target. */

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
import {KeyedEwma} from '@cassiaknot/routing';
import {
  LINK_ABORT_AFTER_MS,
  LINK_PING_AFTER_MS,
  LINK_PING_INTERVAL_MS,
  LINK_SUSPECT_AFTER_MS,
  LINK_VERIFY_AFTER_MS,
  SWEEP_INTERVAL_MS,
} from './constants.js';
import type {LossReason} from './outcome.js';
import {toLossReason} from './outcome.js';
import type {TargetStart} from './target_announcement.js';
import {isSameStart} from './target_announcement.js';
import {SendClock} from './transit_delay.js';

/** Reply of a gate to an offer, or the loss of the link to it. */
export type GateReply =
  | RelayFrameOf<'answer'>
  | RelayFrameOf<'refusal'>
  | {
      readonly kind: 'loss';
      readonly reason: LossReason;
      /** Undefined if the link itself was lost. */
      readonly waitMs?: number;
    };

/** An offer without the fields that the link adds. */
export type NewOffer = Omit<
  RelayFrameOf<'offer'>,
  'kind' | 'callId' | 'sentAtMs' | 'clockEpoch'
>;

/** A sent offer, as returned to its sender. */
export interface PendingCall {
  readonly callId: CallId;
  readonly reply: Promise<GateReply>;
  /**
   * Resolves if the link falls silent before the reply. The call stays pending: a
   * reply may still arrive, and the loss of the link settles it.
   */
  readonly silence: Promise<void>;
}

/** A sent offer, as kept until its reply arrives. */
interface PendingOffer {
  readonly isIdempotent: boolean;
  readonly ruleId: RuleId;
  readonly sentAtMs: number;
  readonly clockEpoch: number;
  readonly settle: (reply: GateReply) => void;
  readonly reportSilence: () => void;
}

/** Expected wait reported by a gate. */
interface WaitReport {
  readonly waitMs: number;
  readonly atMs: number;
}

/** Pace of the target and requests that it runs well at a time. */
interface PaceReport {
  readonly pace: number;
  readonly limit: number | undefined;
  readonly atMs: number;
}

const NO_REPORT: WaitReport = {waitMs: 0, atMs: 0};

/**
 * Number of routes with a report at which all reports are dropped; a report has
 * little weight after 1 s anyway.
 */
const MAX_WAIT_REPORTS = 1_024;
/** Half-life of the failure rate while no requests complete. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Time since the last periodic check from which on the event loop is late. */
const LATE_SWEEP_MS = 4 * SWEEP_INTERVAL_MS;
/** Weight of one outcome in the failure rate. */
const FAILURE_WEIGHT = 0.1;

/** A link to one gate. */
export class GateLink {
  private link: RelayLink | undefined;
  private isOpen = false;
  private targetState: RelayFrameOf<'target-state'> | undefined;
  /**
   * Start of the target that has said in a response that it leaves. A restarted
   * gate doesn't know, as the target may go on to announce itself as ready.
   */
  private leavingStart: TargetStart | undefined;
  private readonly pending = new Map<CallId, PendingOffer>();
  private readonly runTimes = new KeyedEwma<RuleId>();
  private pendingVerifications: Array<(isVerified: boolean) => void> = [];
  private lastCallNumber = 0;
  private lastNonce = 0;
  private lastReceivedAtMs = 0;
  /** Time of the oldest offer since the link had none in flight. */
  private busySinceMs = 0;
  /** Time of the first ping that no frame has followed yet. */
  private pingedAtMs: number | undefined;
  private sweptAtMs = 0;
  private isSweepSkipped = false;
  private warmUpEndsAtMs = 0;
  /** Latest wait reported by the gate, by route. */
  private readonly waitReports = new Map<RuleId, WaitReport>();
  /** Latest pace and limit of the target, if it reports its pace. */
  private paceReport: PaceReport | undefined;
  private inFlightCount = 0;
  private failureRate = 0;
  private failureRateAtMs = 0;

  constructor(
    readonly instanceId: InstanceId,
    readonly isSameDataCentre: boolean,
    private readonly onClose: () => void,
    private readonly onTargetState: (
      state: RelayFrameOf<'target-state'>,
    ) => void = () => undefined,
    private readonly sendClock = new SendClock(),
    private readonly onPermitGrant: (
      grant: RelayFrameOf<'permit-grant'>,
    ) => void = () => undefined,
    readonly dataCentreId = '',
  ) {}

  /** Returns the handlers for the transport that opens this link. */
  getEvents(): RelayLinkEvents {
    return {
      onOpen: link => {
        this.link = link;
        this.isOpen = true;
        this.lastReceivedAtMs = performance.now();
        // The first frame tells the gate the delay of an unhindered one.
        link.send({kind: 'ping', nonce: 0, ...this.sendClock.read()});
      },
      onFrame: (_link, frame) => this.handleFrame(frame),
      onClose: () => this.handleClose(),
    };
  }

  /** Sets the link before it opens, so that it can be closed early. */
  attach(link: RelayLink): void {
    this.link = link;
  }

  /** Latest state of the gate's target; undefined if the link is down. */
  getTargetState(): RelayFrameOf<'target-state'> | undefined {
    return this.isOpen ? this.targetState : undefined;
  }

  /** Whether a ping has been unanswered for longer than the suspect timeout. */
  isSuspect(): boolean {
    if (this.pingedAtMs === undefined) return false;
    return performance.now() - this.pingedAtMs > LINK_SUSPECT_AFTER_MS;
  }

  /** Sends an offer and returns the pending call. */
  offer(offer: NewOffer): PendingCall {
    this.lastCallNumber += 1;
    const callId = brandId<CallId>(this.lastCallNumber.toString(36));
    const {isIdempotent, ruleId} = offer;
    const sent = this.sendClock.read();
    let reportSilence: () => void = () => undefined;
    const silence = new Promise<void>(resolve => {
      reportSilence = resolve;
    });
    const reply = new Promise<GateReply>(resolve => {
      this.pending.set(callId, {
        isIdempotent,
        ruleId,
        ...sent,
        settle: resolve,
        reportSilence,
      });
      this.inFlightCount += 1;
      if (this.pending.size === 1) this.busySinceMs = performance.now();
      const isSent = this.link?.send({
        kind: 'offer',
        callId,
        ...offer,
        ...sent,
      });
      if (isSent !== true) this.settle(callId, SEND_FAILED);
    });
    return {callId, reply, silence};
  }

  /** Asks for permits or a vote; `false` if the link is not open. */
  requestPermits(request: RelayFrameOf<'permit-request'>): boolean {
    return this.isOpen && this.link?.send(request) === true;
  }

  /** Withdraws an offer that has no reply yet. */
  cancel(callId: CallId): void {
    if (!this.pending.has(callId)) return;
    this.link?.send({kind: 'cancel', callId});
    this.settle(callId, {kind: 'loss', reason: 'cancelled'});
  }

  /** Whether a frame arrived so recently that the link need not be verified. */
  isRecentlyActive(): boolean {
    return this.getIdleMs() < LINK_VERIFY_AFTER_MS;
  }

  /** Pings the gate; resolves to `false` if nothing arrives in time. */
  verify(): Promise<boolean> {
    if (!this.isOpen) return Promise.resolve(false);
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve(false), LINK_SUSPECT_AFTER_MS);
      this.pendingVerifications.push(isVerified => {
        clearTimeout(timer);
        resolve(isVerified);
      });
      this.ping();
    });
  }

  /** Returns the load estimate of the target, for ranking. */
  estimate(ruleId: RuleId): TargetEstimate<GateLink> {
    const nowMs = performance.now();
    const report = this.waitReports.get(ruleId) ?? NO_REPORT;
    return {
      target: this,
      isSameDataCentre: this.isSameDataCentre,
      isSuspect: this.isSuspect(),
      slots: this.paceReport?.limit ?? this.targetState?.slots ?? 1,
      runMs: this.runTimes.get(ruleId),
      pace: this.paceReport && {
        pace: this.paceReport.pace,
        ageMs: nowMs - this.paceReport.atMs,
      },
      reportedWaitMs: report.waitMs,
      reportAgeMs: nowMs - report.atMs,
      inFlight: this.inFlightCount,
      isWarmingUp: nowMs < this.warmUpEndsAtMs,
      failureRate: this.getFailureRate(nowMs),
    };
  }

  /** Updates the failure rate with the outcome of one run. */
  recordOutcome(isFailure: boolean): void {
    const nowMs = performance.now();
    const rate = this.getFailureRate(nowMs);
    this.failureRate = rate + FAILURE_WEIGHT * (Number(isFailure) - rate);
    this.failureRateAtMs = nowMs;
  }

  /** Pings an idle link with offers in flight; checks an unanswered ping. */
  sweep(): void {
    if (!this.isOpen) return;
    const nowMs = performance.now();
    const sinceSweepMs = nowMs - this.sweptAtMs;
    this.sweptAtMs = nowMs;
    // Frames that arrived during a delay of the event loop are read after this turn. A
    // loop that is always late must still notice silent links.
    this.isSweepSkipped = sinceSweepMs > LATE_SWEEP_MS && !this.isSweepSkipped;
    if (this.isSweepSkipped) return;
    if (this.pingedAtMs !== undefined) {
      this.checkPing(nowMs - this.pingedAtMs);
      return;
    }
    if (this.pending.size > 0 && nowMs >= this.getPingDueMs()) this.ping();
  }

  private getPingDueMs(): number {
    const hasReceived = this.lastReceivedAtMs > this.busySinceMs;
    return hasReceived
      ? this.lastReceivedAtMs + LINK_PING_INTERVAL_MS
      : this.busySinceMs + LINK_PING_AFTER_MS;
  }

  /** Closes the link. */
  close(): void {
    this.link?.close();
  }

  private getIdleMs(): number {
    return performance.now() - this.lastReceivedAtMs;
  }

  private ping(): void {
    this.pingedAtMs ??= performance.now();
    this.lastNonce += 1;
    const {lastNonce: nonce} = this;
    this.link?.send({kind: 'ping', nonce, ...this.sendClock.read()});
  }

  private checkPing(unansweredMs: number): void {
    if (unansweredMs > LINK_ABORT_AFTER_MS) {
      this.link?.abort();
      this.handleClose();
      return;
    }
    if (unansweredMs <= LINK_SUSPECT_AFTER_MS) return;
    // Idempotent requests can be retried at another gate; others keep waiting.
    for (const call of this.pending.values()) {
      if (call.isIdempotent) call.reportSilence();
    }
  }

  private handleFrame(frame: RelayFrame): void {
    this.lastReceivedAtMs = performance.now();
    this.pingedAtMs = undefined;
    this.settleVerifications(true);
    switch (frame.kind) {
      case 'answer':
        this.checkClock(frame);
        if (frame.isTargetLeaving === true) this.recordLeaving();
        this.settle(frame.callId, frame);
        return;
      case 'refusal':
      case 'loss':
        this.checkClock(frame);
        this.settle(frame.callId, toReply(frame));
        return;
      case 'target-state':
        this.warmUpEndsAtMs = this.lastReceivedAtMs + frame.coldMs;
        this.setTargetState(frame);
        return;
      case 'permit-grant':
        this.onPermitGrant(frame);
        return;
      default:
        return;
    }
  }

  private checkClock(frame: RelayFrameOf<'answer' | 'refusal' | 'loss'>): void {
    const call = this.pending.get(frame.callId);
    if (!call || frame.transitMs === undefined) return;
    this.sendClock.checkReportedDelay(
      frame.transitMs,
      call.sentAtMs,
      call.clockEpoch,
    );
  }

  private recordLeaving(): void {
    const {targetState: state} = this;
    if (!state) return;
    this.leavingStart = toTargetStart(state);
    if (state.isAccepting) this.setTargetState(state);
  }

  private setTargetState(state: RelayFrameOf<'target-state'>): void {
    const start = toTargetStart(state);
    const {leavingStart} = this;
    const isLeaving =
      start && leavingStart ? isSameStart(start, leavingStart) : false;
    this.targetState = isLeaving ? {...state, isAccepting: false} : state;
    this.onTargetState(this.targetState);
  }

  /** Records the run time of a route at this target. */
  recordRunTime(ruleId: RuleId, runMs: number): void {
    if (runMs >= 0) this.runTimes.record(ruleId, runMs);
  }

  private recordPace({pace, limit}: RelayFrameOf<'answer' | 'refusal'>): void {
    if (pace === undefined) return;
    this.paceReport = {pace, limit, atMs: this.lastReceivedAtMs};
  }

  private recordWait(ruleId: RuleId, waitMs: number): void {
    if (this.waitReports.size >= MAX_WAIT_REPORTS) this.waitReports.clear();
    this.waitReports.set(ruleId, {waitMs, atMs: this.lastReceivedAtMs});
  }

  private settle(callId: CallId, reply: GateReply): void {
    const call = this.pending.get(callId);
    if (!call) return;
    this.pending.delete(callId);
    // The wait of a workspace above its share says nothing about others.
    const isOverShare =
      reply.kind === 'refusal' && reply.reason === 'over-share';
    if (reply.waitMs !== undefined && !isOverShare) {
      this.recordWait(call.ruleId, reply.waitMs);
    }
    if (reply.kind !== 'loss') this.recordPace(reply);
    this.inFlightCount = Math.max(0, this.inFlightCount - 1);
    call.settle(reply);
  }

  private settleVerifications(isVerified: boolean): void {
    const {pendingVerifications: resolvers} = this;
    if (resolvers.length === 0) return;
    this.pendingVerifications = [];
    for (const resolve of resolvers) resolve(isVerified);
  }

  private handleClose(): void {
    const wasAttached = this.link !== undefined;
    this.isOpen = false;
    this.link = undefined;
    this.targetState = undefined;
    this.pingedAtMs = undefined;
    this.settleVerifications(false);
    for (const callId of [...this.pending.keys()]) {
      this.settle(callId, {kind: 'loss', reason: 'link-lost'});
    }
    if (wasAttached) this.onClose();
  }

  private getFailureRate(nowMs: number): number {
    const ageMs = nowMs - this.failureRateAtMs;
    return this.failureRate * Math.pow(0.5, ageMs / FAILURE_HALF_LIFE_MS);
  }
}

/** Reply to an offer that could not be sent. */
const SEND_FAILED: GateReply = {
  kind: 'refusal',
  callId: brandId<CallId>(''),
  reason: 'connect-failed',
  hasArrived: false,
  waitMs: 0,
  runMs: -1,
};

function toTargetStart(
  state: RelayFrameOf<'target-state'>,
): TargetStart | undefined {
  const {targetId, startedAtMs} = state;
  return targetId === undefined ? undefined : {targetId, startedAtMs};
}

function toReply(frame: RelayFrameOf<'refusal' | 'loss'>): GateReply {
  if (frame.kind !== 'loss') return frame;
  const {waitMs} = frame;
  return {kind: 'loss', reason: toLossReason(frame.reason), waitMs};
}
