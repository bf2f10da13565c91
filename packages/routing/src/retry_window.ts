/**
 * Bounds repeated arrivals at each service to a share of its requests in a
 * sliding window. The bound holds over the whole fleet, so each member takes
 * its own traffic's share and its part of the fixed allowance.
 */

/** Bounds of a {@link RetryWindow}. */
export interface RetryWindowOptions {
  readonly windowMs: number;
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed beyond that, over the whole fleet. */
  readonly allowance: number;
}

/** A repeat that a member wants to send. */
export interface RepeatRequest<K> {
  readonly serviceId: K;
  /** Members that share the allowance. */
  readonly memberCount: number;
  /**
   * Part of the bound that may be used. The rest is for what can't be counted
   * here: windows of members that do not align, and calls that targets make
   * again while they run a repeat.
   */
  readonly share: number;
  readonly nowMs: number;
}

interface Bucket {
  index: number;
  requests: number;
  repeats: number;
}

const BUCKETS_PER_WINDOW = 10;

/** Counts requests and repeats by service. */
export class RetryWindow<K> {
  private readonly buckets = new Map<K, Bucket[]>();

  constructor(private readonly options: RetryWindowOptions) {}

  /** Records a request for a service. */
  recordRequest(service: K, nowMs: number): void {
    this.getBucket(service, nowMs).requests += 1;
  }

  /** Takes the right to one repeat. */
  trySpend(request: RepeatRequest<K>): boolean {
    const {serviceId, memberCount, share, nowMs} = request;
    const bucket = this.getBucket(serviceId, nowMs);
    const {ratio, allowance} = this.options;
    let requests = 0;
    let repeats = 0;
    for (const {index, ...counts} of this.buckets.get(serviceId) ?? []) {
      if (index <= bucket.index - BUCKETS_PER_WINDOW) continue;
      requests += counts.requests;
      repeats += counts.repeats;
    }
    const fixed = allowance / Math.max(1, memberCount);
    const bound = share * (ratio * requests + fixed);
    if (repeats + 1 > bound) return false;
    bucket.repeats += 1;
    return true;
  }

  private getBucket(service: K, nowMs: number): Bucket {
    const widthMs = this.options.windowMs / BUCKETS_PER_WINDOW;
    const index = Math.floor(nowMs / widthMs);
    let list = this.buckets.get(service);
    if (!list) {
      list = [];
      this.buckets.set(service, list);
    }
    const last = list.at(-1);
    if (last?.index === index) return last;
    const bucket = {index, requests: 0, repeats: 0};
    list.push(bucket);
    if (list.length > BUCKETS_PER_WINDOW + 1) list.shift();
    return bucket;
  }
}
