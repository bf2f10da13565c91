/**
 * Claims on idempotency keys in the platform's store. A request that needs a
 * claim is executed only under one that this process is certain to hold. The
 * gate claims the keys of requests whose method is not idempotent.
 */

import {randomUUID} from 'node:crypto';
import type {ServiceId} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';
import type {KeyValue, KeyValueStore, StoreError} from '@cassiaknot/store';
import {ABSENT_REVISION} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {MAX_STORED_RESPONSE_BYTES} from '../constants.js';
import type {Deadline} from '../deadline.js';
import {copyResponseHeaders} from '../headers.js';
import type {NotRunReason, TargetResponse, UnknownReason} from '../outcome.js';
import {ClaimLease} from './claim_lease.js';
import type {ClaimRecord, ClaimToken, StoredResponse} from './claim_record.js';
import {
  getClaimKey,
  newClaimToken,
  parseClaim,
  serializeClaim,
} from './claim_record.js';

/** A request whose idempotency key is to be claimed. */
export interface ClaimRequest {
  readonly serviceId: ServiceId;
  readonly idempotencyKey: string;
  readonly fingerprint: Fingerprint;
  readonly deadline: Deadline;
}

/** A claim that this process holds. */
export interface HeldClaim {
  /** Records the execution; stores the response for replay if it is small. */
  finish(response: TargetResponse): void;
  /** Frees the key, as the request was certainly not executed. */
  release(): void;
}

/** Result of claiming a key. */
export type ClaimDecision =
  | {readonly kind: 'claimed'; readonly claim: HeldClaim}
  | {readonly kind: 'replay'; readonly response: TargetResponse}
  | {readonly kind: 'refused'; readonly reason: NotRunReason}
  | {readonly kind: 'unknown'; readonly reason: UnknownReason};

/**
 * Claims keys so that a request that its caller repeats, through any daemon, is
 * not executed twice.
 */
export interface ClaimRegistry {
  claim(request: ClaimRequest): Promise<ClaimDecision>;
}

/** Attempts to write a claim; rate-limited ones are not counted. */
const MAX_CLAIM_ATTEMPTS = 4;
const CLAIM_RETRY_DELAY_MS = 20;
/** Longest time that a claim waits while its store calls are rate-limited. */
const MAX_RATE_LIMIT_WAIT_MS = 1_000;
const MAX_UPDATE_ATTEMPTS = 6;
/** Delay after the first attempt; it doubles with each further one. */
const INITIAL_UPDATE_BACKOFF_MS = 200;

/** Keeps claims in the platform's store. */
export class StoreClaimRegistry implements ClaimRegistry {
  private readonly lease: ClaimLease;

  constructor(
    private readonly store: KeyValueStore,
    horizonMs: number,
  ) {
    this.lease = new ClaimLease(store, horizonMs);
  }

  async claim(request: ClaimRequest): Promise<ClaimDecision> {
    const operation = new ClaimOperation(this.store, this.lease, request);
    return operation.run();
  }
}

type AttemptResult = ClaimDecision | {readonly kind: 'retry'};

const RETRY: AttemptResult = {kind: 'retry'};

/** Claims one key for one request. */
class ClaimOperation {
  private readonly key: string;
  private readonly token: ClaimToken;
  private expectedRevision = ABSENT_REVISION;
  private refusalReason: NotRunReason = 'claim-unavailable';
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
    const rateLimitDeadlineMs = performance.now() + MAX_RATE_LIMIT_WAIT_MS;
    let attemptCount = 0;
    while (attemptCount < MAX_CLAIM_ATTEMPTS) {
      const outcome = await this.tryCreate();
      if (outcome.kind !== 'retry') return outcome;
      const wasRateLimited = this.refusalReason === 'claim-limited';
      if (wasRateLimited && performance.now() >= rateLimitDeadlineMs) break;
      if (!wasRateLimited) attemptCount += 1;
      await delay(CLAIM_RETRY_DELAY_MS);
      if (deadline.getRemainingMs() <= 0) break;
    }
    if (this.mayHaveWritten) void this.releaseIfWritten();
    return {kind: 'refused', reason: this.refusalReason};
  }

  private async tryCreate(): Promise<AttemptResult> {
    const leaseId = await this.lease.get();
    if (leaseId.isErr()) return this.handleStoreError(leaseId.error);
    const created = await this.store.compareAndSwap({
      key: this.key,
      value: serializeClaim(this.newRecord('running')),
      expectedRevision: this.expectedRevision,
      leaseId: leaseId.value,
    });
    if (created.isErr()) return this.handleStoreError(created.error);
    const outcome = created.value;
    if (outcome.kind === 'committed') return this.toClaimed(outcome.revision);
    return this.evaluateCurrent(outcome.current);
  }

  private handleStoreError(error: StoreError): AttemptResult {
    const isRateLimited = error.kind === 'limited';
    this.refusalReason = isRateLimited ? 'claim-limited' : 'claim-unavailable';
    // All attempts write the same token, so a delayed write of an earlier one
    // is recognised as this claim's own.
    if (error.kind === 'ambiguous') this.mayHaveWritten = true;
    if (error.kind === 'rejected') this.lease.invalidate();
    // What was read of the store is void, and the lease is gone.
    if (error.kind === 'superseded') {
      this.expectedRevision = ABSENT_REVISION;
      this.lease.invalidate();
    }
    return RETRY;
  }

  private async evaluateCurrent(
    current: KeyValue | undefined,
  ): Promise<AttemptResult> {
    if (!current) {
      this.expectedRevision = ABSENT_REVISION;
      return RETRY;
    }
    const record = parseClaim(current.value);
    if (record.isErr()) return {kind: 'unknown', reason: 'claim-held'};
    const {fingerprint, state, token} = record.value;
    if (token === this.token) return this.toClaimed(current.revision);
    if (state === 'released') {
      this.expectedRevision = current.revision;
      return RETRY;
    }
    if (fingerprint !== this.request.fingerprint) {
      return {kind: 'refused', reason: 'claim-key-reused'};
    }
    if (state === 'finished') return toReplay(record.value);
    return this.waitForHolder(current.revision);
  }

  private async waitForHolder(afterRevision: number): Promise<AttemptResult> {
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
    return this.evaluateCurrent(change.value);
  }

  private toClaimed(revision: number): ClaimDecision {
    const claim: HeldClaim = {
      finish: response => void this.finish(revision, response),
      release: () => void this.update(revision, this.newRecord('released')),
    };
    return {kind: 'claimed', claim};
  }

  private async finish(
    revision: number,
    response: TargetResponse,
  ): Promise<void> {
    const stored = toStoredResponse(response);
    const record = this.newRecord('finished');
    await this.update(revision, stored ? {...record, answer: stored} : record);
  }

  // Only the holder writes a running claim. A repeated request waits for this
  // update until its deadline, and then gets an unknown outcome.
  private async update(revision: number, record: ClaimRecord): Promise<void> {
    for (let count = 0; count < MAX_UPDATE_ATTEMPTS; count += 1) {
      const leaseId = await this.lease.get();
      const written = await this.tryUpdate(revision, record, leaseId);
      if (written) return;
      await delay(INITIAL_UPDATE_BACKOFF_MS * 2 ** count);
    }
  }

  private async tryUpdate(
    revision: number,
    record: ClaimRecord,
    leaseId: Awaited<ReturnType<ClaimLease['get']>>,
  ): Promise<boolean> {
    if (leaseId.isErr()) return false;
    const written = await this.store.compareAndSwap({
      key: this.key,
      value: serializeClaim(record),
      expectedRevision: revision,
      leaseId: leaseId.value,
    });
    return written.isOk();
  }

  // A write whose result is unknown may still be applied, so the store is read
  // repeatedly until the key is found.
  private async releaseIfWritten(): Promise<void> {
    for (let count = 0; count < MAX_UPDATE_ATTEMPTS; count += 1) {
      await delay(INITIAL_UPDATE_BACKOFF_MS * 2 ** count);
      const current = await this.store.get(this.key);
      if (current.isErr() || !current.value) continue;
      if (this.isOwnClaim(parseClaim(current.value.value))) {
        const {revision} = current.value;
        await this.update(revision, this.newRecord('released'));
      }
      return;
    }
  }

  private isOwnClaim(record: Result<ClaimRecord, string>): boolean {
    return record.isOk() && record.value.token === this.token;
  }

  private newRecord(state: ClaimRecord['state']): ClaimRecord {
    const {fingerprint} = this.request;
    return {token: this.token, fingerprint, state};
  }
}

function toStoredResponse(
  response: TargetResponse,
): StoredResponse | undefined {
  if (response.remainingBody) return undefined;
  if (response.body.byteLength > MAX_STORED_RESPONSE_BYTES) return undefined;
  return {
    statusCode: response.statusCode,
    headers: copyResponseHeaders(response.headers),
    bodyBase64: response.body.toString('base64'),
  };
}

function toReplay(record: ClaimRecord): ClaimDecision {
  const stored = record.answer;
  if (!stored) return {kind: 'unknown', reason: 'claim-answer-not-kept'};
  const {statusCode, headers, bodyBase64} = stored;
  const body = Buffer.from(bodyBase64, 'base64');
  const response = {statusCode, headers, body, remainingBody: undefined};
  return {kind: 'replay', response};
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
