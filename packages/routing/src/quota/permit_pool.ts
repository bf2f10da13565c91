/** Permits on hand, by lender and time of expiry. */

interface Batch<L> {
  /** Undefined for permits that were put back, which can't be returned. */
  readonly lender: L | undefined;
  readonly expiresAtMs: number;
  count: number;
}

/** Permits of one workspace; those that expire first are used first. */
export class PermitPool<L> {
  private batches: Array<Batch<L>> = [];

  /** Adds permits, unless they have expired. */
  add(
    lender: L | undefined,
    count: number,
    expiresAtMs: number,
    nowMs: number,
  ): void {
    if (count <= 0 || expiresAtMs <= nowMs) return;
    const batch = {lender, count, expiresAtMs};
    const index = this.batches.findIndex(
      other => other.expiresAtMs > expiresAtMs,
    );
    if (index < 0) this.batches.push(batch);
    else this.batches.splice(index, 0, batch);
  }

  /** Puts back a permit that was taken; it expires when it would have. */
  putBack(expiresAtMs: number, nowMs: number): void {
    this.add(undefined, 1, expiresAtMs, nowMs);
  }

  /** Uses a permit and returns when it expires; undefined if there is none. */
  take(nowMs: number): number | undefined {
    this.expire(nowMs);
    const [first] = this.batches;
    if (!first) return undefined;
    first.count -= 1;
    if (first.count === 0) this.batches.shift();
    return first.expiresAtMs;
  }

  /** Returns the permits that are valid after a time. */
  count(afterMs: number): number {
    let count = 0;
    for (const batch of this.batches) {
      if (batch.expiresAtMs > afterMs) count += batch.count;
    }
    return count;
  }

  /** Removes permits of a lender that expire by a time, but for some. */
  removeExpiring(
    lender: L,
    byMs: number,
    keptCount: number,
    nowMs: number,
  ): number {
    this.expire(nowMs);
    let left = keptCount;
    let removed = 0;
    for (const batch of this.batches) {
      if (batch.expiresAtMs > byMs) break;
      const kept = Math.min(left, batch.count);
      left -= kept;
      if (batch.lender !== lender) continue;
      removed += batch.count - kept;
      batch.count = kept;
    }
    this.batches = this.batches.filter(batch => batch.count > 0);
    return removed;
  }

  private expire(nowMs: number): void {
    while (this.batches[0] && this.batches[0].expiresAtMs <= nowMs) {
      this.batches.shift();
    }
  }
}
