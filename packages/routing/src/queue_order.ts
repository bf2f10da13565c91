/** Order of a queue without shortage. */

import type {JobPriority} from './job.js';

/** A job and what its place depends on at one time. */
export interface QueuePlace<J extends JobPriority> {
  readonly job: J;
  /** Whether it can still meet its latency objective. */
  readonly isInTime: boolean;
}

/** Negative if `left` is served first, 0 if the priorities are equal. */
export function comparePlaces(
  left: QueuePlace<JobPriority>,
  right: QueuePlace<JobPriority>,
): number {
  if (left.job.urgency !== right.job.urgency) {
    return left.job.urgency - right.job.urgency;
  }
  if (left.isInTime !== right.isInTime) return left.isInTime ? -1 : 1;
  const isLeftFromElsewhere = left.job.isFromElsewhere === true;
  if (isLeftFromElsewhere !== (right.job.isFromElsewhere === true)) {
    return isLeftFromElsewhere ? 1 : -1;
  }
  return left.isInTime ? left.job.expectedRunMs - right.job.expectedRunMs : 0;
}
