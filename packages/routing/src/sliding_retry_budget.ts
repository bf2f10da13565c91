/**
 * Retry budget: limits retries to each service to a share of its requests in a
 * sliding window, plus a fixed allowance. The limit applies to all members
 * together, so each may retry that share of its own requests and use an equal
 * part of the allowance.
 */

/** Options of a {@link SlidingRetryBudget}. */
export interface SlidingRetryBudgetOptions {
  readonly windowMs: number;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed per window, over all members. */
  readonly allowance: number;
}

/** A retry that a member wants to send. */
export interface RetryRequest<K> {
  readonly serviceId: K;
  /** Number of members that share the allowance. */
  readonly memberCount: number;
  /**
   * Share of the limit that may be used. The rest covers what can't be counted
   * here: windows of members that are not aligned, and nested calls that targets
   * make again while they run a retry.
   */
  readonly share: number;
  readonly nowMs: number;
}

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

const BUCKET_COUNT = 10;

/** Counts requests and retries by service. */
export class SlidingRetryBudget<K> {
  private readonly buckets = new Map<K, Bucket[]>();

  constructor(private readonly options: SlidingRetryBudgetOptions) {}

  /** Records a request for a service. */
  recordRequest(service: K, nowMs: number): void {
    this.getBucket(service, nowMs).requests += 1;
  }

  /** Spends one retry; `false` if the budget is exhausted. */
  trySpend(request: RetryRequest<K>): boolean {
    const {serviceId, memberCount, share, nowMs} = request;
    const bucket = this.getBucket(serviceId, nowMs);
    const {ratio, allowance} = this.options;
    let requests = 0;
    let retries = 0;
    for (const {index, ...counts} of this.buckets.get(serviceId) ?? []) {
      if (index <= bucket.index - BUCKET_COUNT) continue;
      requests += counts.requests;
      retries += counts.retries;
    }
    const fixed = allowance / Math.max(1, memberCount);
    const limit = share * (ratio * requests + fixed);
    if (retries + 1 > limit) return false;
    bucket.retries += 1;
    return true;
  }

  private getBucket(service: K, nowMs: number): Bucket {
    const widthMs = this.options.windowMs / BUCKET_COUNT;
    const index = Math.floor(nowMs / widthMs);
    let buckets = this.buckets.get(service);
    if (!buckets) {
      buckets = [];
      this.buckets.set(service, buckets);
    }
    const last = buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = {index, requests: 0, retries: 0};
    buckets.push(bucket);
    if (buckets.length > BUCKET_COUNT + 1) buckets.shift();
    return bucket;
  }
}
