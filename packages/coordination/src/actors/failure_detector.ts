/**
 * Decides which watched members to suspect and to bury. A daemon that lost
 * most of its links at once doubts itself first.
 */

import type {InstanceId} from '@cassiaknot/inventory';
import type {TimingOptions} from '../coordinator_options.js';

/** What to claim about a watched member. */
export interface FailureClaim {
  readonly instanceId: InstanceId;
  readonly state: 'suspect' | 'dead';
}

const MIN_LOST_FOR_DOUBT = 2;

/** Tracks for how long each watched member has been without a link. */
export class FailureDetector {
  private readonly linked = new Set<InstanceId>();
  private readonly unlinkedSinceMs = new Map<InstanceId, number>();
  private readonly suspectedSinceMs = new Map<InstanceId, number>();
  private recentLosses: number[] = [];
  private doubtUntilMs = 0;
  private linksBeforeDoubt = 0;

  constructor(
    private readonly timing: TimingOptions,
    private readonly onDoubt: () => void,
  ) {}

  /** Records that a link to a member is up. */
  recordUp(instanceId: InstanceId): void {
    this.linked.add(instanceId);
    this.unlinkedSinceMs.delete(instanceId);
    this.suspectedSinceMs.delete(instanceId);
    if (this.linked.size * 2 >= this.linksBeforeDoubt) this.doubtUntilMs = 0;
  }

  /** Records that the last link to a member is gone. */
  recordDown(instanceId: InstanceId): void {
    const nowMs = performance.now();
    const linksBefore = this.linked.size;
    if (!this.linked.delete(instanceId)) return;
    this.recentLosses.push(nowMs);
    const horizonMs = nowMs - this.timing.linkSilenceMs;
    this.recentLosses = this.recentLosses.filter(atMs => atMs > horizonMs);
    const lost = this.recentLosses.length;
    const peak = linksBefore + lost - 1;
    if (lost < MIN_LOST_FOR_DOUBT || lost * 2 <= peak) return;
    if (nowMs >= this.doubtUntilMs) this.onDoubt();
    this.doubtUntilMs = nowMs + this.timing.selfDoubtMs;
    this.linksBeforeDoubt = peak;
  }

  /** Whether a link to a member is up. */
  isLinked(instanceId: InstanceId): boolean {
    return this.linked.has(instanceId);
  }

  /** Returns members that should be dialled because nobody else may do so. */
  findUnlinked(watched: readonly InstanceId[]): InstanceId[] {
    const horizonMs = performance.now() - this.timing.heartbeatMs;
    return watched.filter(id => {
      const sinceMs = this.unlinkedSinceMs.get(id);
      return sinceMs !== undefined && sinceMs <= horizonMs;
    });
  }

  /** Moves all clocks on by a time during which this process was paused. */
  forgivePause(pausedMs: number): void {
    shiftClocks(this.unlinkedSinceMs, pausedMs);
    shiftClocks(this.suspectedSinceMs, pausedMs);
  }

  /** Returns the claims that are due about the watched members. */
  evaluate(watched: readonly InstanceId[]): FailureClaim[] {
    this.forgetUnwatched(watched);
    const nowMs = performance.now();
    const claims: FailureClaim[] = [];
    for (const instanceId of watched) {
      if (this.linked.has(instanceId)) continue;
      const claim = this.evaluateUnlinked(instanceId, nowMs);
      if (claim) claims.push(claim);
    }
    return claims;
  }

  private evaluateUnlinked(
    instanceId: InstanceId,
    nowMs: number,
  ): FailureClaim | undefined {
    const {suspectAfterMs, buryAfterMs} = this.timing;
    const unlinkedSinceMs = this.unlinkedSinceMs.get(instanceId) ?? nowMs;
    this.unlinkedSinceMs.set(instanceId, unlinkedSinceMs);
    if (nowMs < this.doubtUntilMs) return undefined;
    if (nowMs - unlinkedSinceMs < suspectAfterMs) return undefined;
    const suspectedSinceMs = this.suspectedSinceMs.get(instanceId) ?? nowMs;
    this.suspectedSinceMs.set(instanceId, suspectedSinceMs);
    const isOverdue = nowMs - suspectedSinceMs >= buryAfterMs;
    return {instanceId, state: isOverdue ? 'dead' : 'suspect'};
  }

  private forgetUnwatched(watched: readonly InstanceId[]): void {
    const wanted = new Set(watched);
    for (const instanceId of this.unlinkedSinceMs.keys()) {
      if (wanted.has(instanceId)) continue;
      this.unlinkedSinceMs.delete(instanceId);
      this.suspectedSinceMs.delete(instanceId);
    }
  }
}

function shiftClocks(
  clocks: Map<InstanceId, number>,
  durationMs: number,
): void {
  const nowMs = performance.now();
  for (const [instanceId, sinceMs] of clocks) {
    clocks.set(instanceId, Math.min(nowMs, sinceMs + durationMs));
  }
}
