/** Announcements of targets and their order. */

import type {ServiceId} from '@cassiaknot/inventory';

/** A target's announcement of its identity, capacity and state. */
export interface TargetAnnouncement {
  readonly targetId: string;
  readonly serviceId: ServiceId;
  /** `host:port` at which the target listens. */
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Warm-up time left, during which the target runs more slowly. */
  readonly coldMs: number;
  /** Increases with each announcement from one start. */
  readonly sequence: number;
  /** Wall-clock start time of the target; undefined if not announced. */
  readonly startedAtMs: number | undefined;
  /** How long work takes now, 1 as usual; undefined if the target didn't say. */
  readonly pace?: number | undefined;
}

/** Identifies one start of one target. */
export type TargetStart = Pick<TargetAnnouncement, 'targetId' | 'startedAtMs'>;

/** Order of an announcement relative to the current one. */
export type AnnouncementOrder = 'newer-start' | 'newer' | 'stale';

/** Compares an announcement with the latest one of the current target. */
export function compareAnnouncements(
  current: TargetAnnouncement,
  next: TargetAnnouncement,
): AnnouncementOrder {
  const isSameId = current.targetId === next.targetId;
  const {startedAtMs: currentStartMs} = current;
  const {startedAtMs: nextStartMs} = next;
  if (currentStartMs !== undefined && nextStartMs !== undefined) {
    if (nextStartMs < currentStartMs) return 'stale';
    if (nextStartMs > currentStartMs) return 'newer-start';
    if (!isSameId) return 'newer-start';
  } else if (!isSameId) {
    return 'newer-start';
  }
  return next.sequence > current.sequence ? 'newer' : 'stale';
}

/**
 * Whether a leave refers to the current start of the target. A start time that
 * was not announced matches any.
 */
export function isSameStart(
  current: TargetStart,
  leaving: TargetStart,
): boolean {
  if (current.targetId !== leaving.targetId) return false;
  if (leaving.startedAtMs === undefined) return true;
  if (current.startedAtMs === undefined) return true;
  return current.startedAtMs === leaving.startedAtMs;
}
