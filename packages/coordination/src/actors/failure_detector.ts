/**
 * Decides which monitored members to report as suspect or dead. A daemon that
 * loses most of its links at once assumes that it is itself isolated, and
 * reports nobody until half of them are back or a timeout has passed.
 */

import type {InstanceId} from '@cassiaknot/inventory';
import type {TimingOptions} from '../coordinator_options.js';

/** The state to report for a monitored member. */
export interface FailureReport {
  readonly instanceId: InstanceId;
  readonly state: 'suspect' | 'dead';
}

/** Minimum number of lost links that can indicate isolation. */
const MIN_LOST_LINKS = 2;

/** Tracks how long each monitored member has been without a link. */
export class FailureDetector {
  private readonly linked = new Set<InstanceId>();
  private readonly unlinkedSinceMs = new Map<InstanceId, number>();
  private readonly suspectedSinceMs = new Map<InstanceId, number>();
  /** Times of the link losses within the last link timeout. */
  private lossTimesMs: number[] = [];
  private isolatedUntilMs = 0;
  /** Number of links before the losses that indicated isolation. */
  private priorLinkCount = 0;

  constructor(
    private readonly timing: TimingOptions,
    private readonly onIsolated: () => void,
  ) {}

  /**
   * Records that a link to a member is up. Isolation ends when half of the
   * links are back.
   */
  recordLinkUp(instanceId: InstanceId): void {
    this.linked.add(instanceId);
    this.unlinkedSinceMs.delete(instanceId);
    this.suspectedSinceMs.delete(instanceId);
    if (this.linked.size * 2 >= this.priorLinkCount) this.isolatedUntilMs = 0;
  }

  /** Records that the last link to a member was closed. */
  recordLinkDown(instanceId: InstanceId): void {
    const nowMs = performance.now();
    const linksBefore = this.linked.size;
    if (!this.linked.delete(instanceId)) return;
    this.lossTimesMs.push(nowMs);
    const cutoffMs = nowMs - this.timing.linkTimeoutMs;
    this.lossTimesMs = this.lossTimesMs.filter(atMs => atMs > cutoffMs);
    const lostCount = this.lossTimesMs.length;
    const priorLinkCount = linksBefore + lostCount - 1;
    if (lostCount < MIN_LOST_LINKS || lostCount * 2 <= priorLinkCount) return;
    if (nowMs >= this.isolatedUntilMs) this.onIsolated();
    this.isolatedUntilMs = nowMs + this.timing.isolationTimeoutMs;
    this.priorLinkCount = priorLinkCount;
  }

  /** Whether a link to a member is up. */
  isLinked(instanceId: InstanceId): boolean {
    return this.linked.has(instanceId);
  }

  /**
   * Returns the monitored members without a link for at least a heartbeat. This
   * daemon dials them itself, because possibly no other daemon does.
   */
  findUnlinked(monitored: readonly InstanceId[]): InstanceId[] {
    const cutoffMs = performance.now() - this.timing.heartbeatMs;
    return monitored.filter(id => {
      const sinceMs = this.unlinkedSinceMs.get(id);
      return sinceMs !== undefined && sinceMs <= cutoffMs;
    });
  }

  /** Excludes a pause of this process from the time without a link. */
  adjustForPause(pausedMs: number): void {
    shiftTimestamps(this.unlinkedSinceMs, pausedMs);
    shiftTimestamps(this.suspectedSinceMs, pausedMs);
  }

  /** Returns the reports that are due for the monitored members. */
  evaluate(monitored: readonly InstanceId[]): FailureReport[] {
    this.pruneUnmonitored(monitored);
    const nowMs = performance.now();
    const reports: FailureReport[] = [];
    for (const instanceId of monitored) {
      if (this.linked.has(instanceId)) continue;
      const report = this.evaluateUnlinked(instanceId, nowMs);
      if (report) reports.push(report);
    }
    return reports;
  }

  private evaluateUnlinked(
    instanceId: InstanceId,
    nowMs: number,
  ): FailureReport | undefined {
    const {suspectAfterMs, suspicionTimeoutMs} = this.timing;
    const unlinkedSinceMs = this.unlinkedSinceMs.get(instanceId) ?? nowMs;
    this.unlinkedSinceMs.set(instanceId, unlinkedSinceMs);
    if (nowMs < this.isolatedUntilMs) return undefined;
    if (nowMs - unlinkedSinceMs < suspectAfterMs) return undefined;
    const suspectedSinceMs = this.suspectedSinceMs.get(instanceId) ?? nowMs;
    this.suspectedSinceMs.set(instanceId, suspectedSinceMs);
    const isOverdue = nowMs - suspectedSinceMs >= suspicionTimeoutMs;
    return {instanceId, state: isOverdue ? 'dead' : 'suspect'};
  }

  private pruneUnmonitored(monitored: readonly InstanceId[]): void {
    const monitoredIds = new Set(monitored);
    for (const instanceId of this.unlinkedSinceMs.keys()) {
      if (monitoredIds.has(instanceId)) continue;
      this.unlinkedSinceMs.delete(instanceId);
      this.suspectedSinceMs.delete(instanceId);
    }
  }
}

function shiftTimestamps(
  timestamps: Map<InstanceId, number>,
  durationMs: number,
): void {
  const nowMs = performance.now();
  for (const [instanceId, sinceMs] of timestamps) {
    timestamps.set(instanceId, Math.min(nowMs, sinceMs + durationMs));
  }
}
