/**
 * Claims of idempotency keys in the platform's store. A request with a key
 * runs only under a claim that this process is certain to hold.
 */

import {randomUUID} from 'node:crypto';
import type {ServiceId} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';
import type {KeyValue, KeyValueStore, StoreError} from '@cassiaknot/store';
import {ABSENT_REVISION} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {MAX_KEPT_ANSWER_BYTES} from '../constants.js';
import type {Deadline} from '../deadline.js';
import {copyAnswerHeaders} from '../headers.js';
import type {Answer, NotRunReason, UnknownReason} from '../outcome.js';
import {ClaimLease} from './claim_lease.js';
import type {ClaimRecord, ClaimToken, KeptAnswer} from './claim_record.js';
import {
  formatClaim,
  getClaimKey,
  newClaimToken,
  parseClaim,
} from './claim_record.js';

/** The request for which a key is claimed. */
export interface ClaimRequest {
  readonly serviceId: ServiceId;
  readonly idempotencyKey: string;
  readonly fingerprint: Fingerprint;
  readonly deadline: Deadline;
}

/** A claim that this process holds. */
export interface HeldClaim {
  /** Records that the request ran; replays follow from `answer`. */
  finish(answer: Answer): void;
  /** Frees the key: the request was certainly not run. */
  release(): void;
}

/** What became of an attempt to claim a key. */
export type ClaimDecision =
  | {readonly kind: 'claimed'; readonly claim: HeldClaim}
  | {readonly kind: 'replay'; readonly answer: Answer}
  | {readonly kind: 'refused'; readonly reason: NotRunReason}
  | {readonly kind: 'unknown'; readonly reason: UnknownReason};

/** Claims keys so that resends through any daemon don't run twice. */
export interface ClaimKeeper {
  claim(request: ClaimRequest): Promise<ClaimDecision>;
}

const MAX_SETTLE_ATTEMPTS = 4;
const SETTLE_DELAY_MS = 20;
/** Time for which a claim waits for the limiter to let it through. */
const MAX_LIMITED_WAIT_MS = 1_000;
const MAX_FINISH_ATTEMPTS = 6;
const FINISH_DELAY_MS = 200;

/** Claims in the platform's store. */
export class StoreClaimKeeper implements ClaimKeeper {
  private readonly lease: ClaimLease;

  constructor(
    private readonly store: KeyValueStore,
    horizonMs: number,
  ) {
    this.lease = new ClaimLease(store, horizonMs);
  }

  async claim(request: ClaimRequest): Promise<ClaimDecision> {
    const attempt = new ClaimAttempt(this.store, this.lease, request);
    return attempt.run();
  }
}

type StepOutcome = ClaimDecision | {readonly kind: 'again'};

const AGAIN: StepOutcome = {kind: 'again'};

/** The attempt to claim one key for one request. */
class ClaimAttempt {
  private readonly key: string;
  private readonly token: ClaimToken;
  private expectedRevision = ABSENT_REVISION;
  private lastReason: NotRunReason = 'claim-unavailable';
  private mayHaveWritten = false;

  constructor(
    private readonly store: KeyValueStore,
    private readonly lease: ClaimLease,
    private readonly request: ClaimRequest,
  ) {
    this.key = getClaimKey(request.serviceId, request.idempotencyKey);
    this.token = newClaimToken(randomUUID());
  }

  async run(): Promise<ClaimDecision> {
    const {deadline} = this.request;
    const endsAtMs = performance.now() + MAX_LIMITED_WAIT_MS;
    let attemptCount = 0;
    while (attemptCount < MAX_SETTLE_ATTEMPTS) {
      const outcome = await this.tryCreate();
      if (outcome.kind !== 'again') return outcome;
      const wasLimited = this.lastReason === 'claim-limited';
      if (wasLimited && performance.now() >= endsAtMs) break;
      if (!wasLimited) attemptCount += 1;
      await delay(SETTLE_DELAY_MS);
      if (deadline.getRemainingMs() <= 0) break;
    }
    if (this.mayHaveWritten) void this.releaseWhenFound();
    return {kind: 'refused', reason: this.lastReason};
  }

  private async tryCreate(): Promise<StepOutcome> {
    const leaseId = await this.lease.get();
    if (leaseId.isErr()) return this.retryAfter(leaseId.error);
    const created = await this.store.compareAndSwap({
      key: this.key,
      value: formatClaim(this.newRecord('running')),
      expectedRevision: this.expectedRevision,
      leaseId: leaseId.value,
    });
    if (created.isErr()) return this.retryAfter(created.error);
    const outcome = created.value;
    if (outcome.kind === 'committed') return this.hold(outcome.revision);
    return this.judgeCurrent(outcome.current);
  }

  private retryAfter(error: StoreError): StepOutcome {
    const isLimited = error.kind === 'limited';
    this.lastReason = isLimited ? 'claim-limited' : 'claim-unavailable';
    // The same token is written again, so a delayed write does no harm.
    if (error.kind === 'ambiguous') this.mayHaveWritten = true;
    if (error.kind === 'rejected') this.lease.forget();
    return AGAIN;
  }

  private async judgeCurrent(
    current: KeyValue | undefined,
  ): Promise<StepOutcome> {
    if (!current) {
      this.expectedRevision = ABSENT_REVISION;
      return AGAIN;
    }
    const record = parseClaim(current.value);
    if (record.isErr()) return {kind: 'unknown', reason: 'claim-held'};
    const {fingerprint, state, token} = record.value;
    if (token === this.token) return this.hold(current.revision);
    if (state === 'released') {
      this.expectedRevision = current.revision;
      return AGAIN;
    }
    if (fingerprint !== this.request.fingerprint) {
      return {kind: 'refused', reason: 'claim-key-reused'};
    }
    if (state === 'finished') return replay(record.value);
    return this.waitForHolder(current.revision);
  }

  private async waitForHolder(afterRevision: number): Promise<StepOutcome> {
    const {deadline} = this.request;
    const change = await this.store.waitForChange({
      key: this.key,
      afterRevision,
      timeoutMs: Math.max(1, Math.floor(deadline.getRemainingMs())),
      signal: deadline.toAbortSignal(),
    });
    if (change.isErr() || !change.value) {
      return {kind: 'unknown', reason: 'claim-held'};
    }
    return this.judgeCurrent(change.value);
  }

  private hold(revision: number): ClaimDecision {
    const claim: HeldClaim = {
      finish: answer => void this.finish(revision, answer),
      release: () => void this.write(revision, this.newRecord('released')),
    };
    return {kind: 'claimed', claim};
  }

  private async finish(revision: number, answer: Answer): Promise<void> {
    const kept = keepAnswer(answer);
    const record = this.newRecord('finished');
    await this.write(revision, kept ? {...record, answer: kept} : record);
  }

  // The holder is the only one to write a running claim. Until it succeeds,
  // resends are told that the outcome is unknown.
  private async write(revision: number, record: ClaimRecord): Promise<void> {
    for (let count = 0; count < MAX_FINISH_ATTEMPTS; count += 1) {
      const leaseId = await this.lease.get();
      const written = await this.swap(revision, record, leaseId);
      if (written) return;
      await delay(FINISH_DELAY_MS * 2 ** count);
    }
  }

  private async swap(
    revision: number,
    record: ClaimRecord,
    leaseId: Awaited<ReturnType<ClaimLease['get']>>,
  ): Promise<boolean> {
    if (leaseId.isErr()) return false;
    const written = await this.store.compareAndSwap({
      key: this.key,
      value: formatClaim(record),
      expectedRevision: revision,
      leaseId: leaseId.value,
    });
    return written.isOk();
  }

  private async releaseWhenFound(): Promise<void> {
    for (let count = 0; count < MAX_FINISH_ATTEMPTS; count += 1) {
      await delay(FINISH_DELAY_MS * 2 ** count);
      const current = await this.store.get(this.key);
      if (current.isErr() || !current.value) continue;
      if (this.isOwn(parseClaim(current.value.value))) {
        const {revision} = current.value;
        await this.write(revision, this.newRecord('released'));
      }
      return;
    }
  }

  private isOwn(record: Result<ClaimRecord, string>): boolean {
    return record.isOk() && record.value.token === this.token;
  }

  private newRecord(state: ClaimRecord['state']): ClaimRecord {
    const {fingerprint} = this.request;
    return {token: this.token, fingerprint, state};
  }
}

function keepAnswer(answer: Answer): KeptAnswer | undefined {
  if (answer.rest) return undefined;
  if (answer.body.byteLength > MAX_KEPT_ANSWER_BYTES) return undefined;
  return {
    statusCode: answer.statusCode,
    headers: copyAnswerHeaders(answer.headers),
    bodyBase64: answer.body.toString('base64'),
  };
}

function replay(record: ClaimRecord): ClaimDecision {
  const kept = record.answer;
  if (!kept) return {kind: 'unknown', reason: 'claim-answer-not-kept'};
  const {statusCode, headers, bodyBase64} = kept;
  const body = Buffer.from(bodyBase64, 'base64');
  const answer = {statusCode, headers, body, rest: undefined};
  return {kind: 'replay', answer};
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
