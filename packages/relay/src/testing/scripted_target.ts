/** Gates with a target that records the requests it receives. */

import type {RuleId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  CallId,
  RelayFrame,
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import {RelayGate} from '../gate.js';
import type {HeaderCodec} from '../header_codec.js';
import {LocalTarget} from '../local_target.js';
import type {
  RelayTargetClient,
  TargetExchange,
  TargetRequest,
} from '../target_client.js';
import {RecordingObserver, SERVICE} from './scripted_gates.js';

const ADDRESS = 'target:1';

/**
 * Sends the time left as the only header and takes every response as an answer,
 * which names a limit, a pace or the target's leaving, unless it says `not-run`.
 */
const HEADER_CODEC: HeaderCodec = {
  strippedRequestHeaders: new Set(),
  workspaceRequestHeaders: new Set(),
  challenge: 'Bearer',
  strippedResponseHeaders: new Set(),
  parseCallerHeaders: () => ({requestId: '', timeoutMs: undefined}),
  formatTargetHeaders: ({remainingMs}) => ['remaining', String(remainingMs)],
  parseTargetReport: ({limit, leaving, pace}) => ({
    limitPerSecond: limit === undefined ? undefined : Number(limit),
    isLeaving: leaving !== undefined,
    pace: pace === undefined ? undefined : Number(pace),
  }),
  classifyResponse: (_requestId, {headers}) =>
    headers['not-run'] === undefined
      ? {kind: 'answer'}
      : {kind: 'not-run', isOtherInstance: false, isIdentified: true},
};

/** A gate, one link to it, and what passes over both. */
export class ScriptedTarget implements RelayTargetClient {
  /** Requests that the target has received. */
  readonly requests: TargetRequest[] = [];
  /** Frames that the gate has sent over the link. */
  readonly replies: RelayFrame[] = [];
  readonly observer = new RecordingObserver();
  readonly gate: RelayGate;
  /** Time by which the event loop of the gate is late. */
  loopDelayMs = 0;
  /** Run time and response headers; requests run without end if undefined. */
  response: {runMs: number; headers: Record<string, string>} | undefined;
  private readonly link: RelayLink;
  private readonly linkEvents: RelayLinkEvents;
  private readonly localTarget: LocalTarget;
  private offerCount = 0;

  constructor(slots = 4) {
    this.localTarget = new LocalTarget({
      isKnownService: () => true,
      getAddress: () => ADDRESS,
      newClient: () => this,
      observer: this.observer,
      onTargetChange: () => undefined,
    });
    this.gate = new RelayGate({
      localTarget: this.localTarget,
      headerCodec: HEADER_CODEC,
      observer: this.observer,
      getLoopDelayMs: () => this.loopDelayMs,
      crashTracker: {
        getStatus: () => 'clear',
        clear: () => undefined,
        reportCrash: () => undefined,
      },
    });
    this.localTarget.announce({
      targetId: 't1',
      serviceId: brandId<ServiceId>(SERVICE),
      address: ADDRESS,
      slots,
      state: 'ready',
      coldMs: 0,
      sequence: 1,
      startedAtMs: 0,
    });
    this.link = {
      send: frame => this.replies.push(frame) > 0,
      close: () => undefined,
      abort: () => undefined,
    };
    this.linkEvents = this.gate.getLinkEvents();
    this.linkEvents.onOpen(this.link);
  }

  send(request: TargetRequest): Promise<TargetExchange> {
    this.requests.push(request);
    const {response} = this;
    if (!response) return new Promise(() => undefined);
    const {runMs, headers} = response;
    return new Promise(resolve => {
      const body = new Uint8Array();
      const head = {statusCode: 200, headers, precedingResponseCount: 0};
      const classification = request.classify(head);
      const answer = {kind: 'response', ...head, classification, body} as const;
      setTimeout(() => resolve(answer), runMs);
    });
  }

  /** Runs the periodic checks of the gate. */
  sweep(): void {
    this.localTarget.sweep();
  }

  probe(): Promise<boolean> {
    return Promise.resolve(true);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  closeWhenIdle(): Promise<void> {
    return Promise.resolve();
  }

  /** Delivers the first ping of a link, which is not delayed. */
  ping(): void {
    const sentAtMs = performance.now();
    this.linkEvents.onFrame(this.link, {kind: 'ping', nonce: 0, sentAtMs});
  }

  /** Delivers an offer that was under way for the given time. */
  offer(
    remainingMs: number,
    transitMs: number,
    isIdempotent = true,
    fields: Partial<RelayFrameOf<'offer'>> = {},
  ): CallId {
    this.offerCount += 1;
    const callId = brandId<CallId>(String(this.offerCount));
    this.linkEvents.onFrame(this.link, {
      kind: 'offer',
      callId,
      requestId: `r${this.offerCount}`,
      serviceId: brandId<ServiceId>(SERVICE),
      ruleId: brandId<RuleId>('r'),
      method: 'GET',
      path: '/x',
      headers: [],
      body: new Uint8Array(),
      callerServiceId: 'caller',
      remainingMs,
      maxWaitMs: remainingMs,
      objectiveMs: 100,
      objectiveLeftMs: 100,
      urgency: 1,
      isIdempotent,
      sentAtMs: performance.now() - transitMs,
      ...fields,
    });
    return callId;
  }

  /** Delivers the withdrawal of an offer. */
  cancel(callId: CallId): void {
    this.linkEvents.onFrame(this.link, {kind: 'cancel', callId});
  }

  /** Closes the link from the side of the entry. */
  closeLink(): void {
    this.linkEvents.onClose(this.link);
  }

  /** Returns the reasons of the refusals sent so far. */
  getRefusalReasons(): string[] {
    return this.replies
      .filter(
        (frame): frame is RelayFrameOf<'refusal'> => frame.kind === 'refusal',
      )
      .map(({reason}) => reason);
  }
}
