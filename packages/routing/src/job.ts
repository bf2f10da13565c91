/** Jobs of a target's queue. */

/** Why a job was not started. */
export type JobRefusalReason =
  | 'overloaded'
  /** Its workspace exceeds its fair share while there is a standing queue. */
  | 'over-share'
  | 'deadline'
  | 'closed';

/** Determines the position of a job in the queue. */
export interface JobPriority {
  /** Priority under load; 0 is served first. */
  readonly urgency: number;
  /** Group that shares the slots fairly with others; undefined for its own group. */
  readonly workspaceId?: string | undefined;
  /** Priority of the workspace, of which `urgency` is a refinement; 0 if missing. */
  readonly workspaceUrgency?: number | undefined;
  /** Expected run time at this target. */
  readonly expectedRunMs: number;
  /** Latest time at which a response meets the latency objective. */
  readonly objectiveAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
  /** Whether its caller is in another data centre; those of the own come first. */
  readonly isFromElsewhere?: boolean | undefined;
}

/** A request for a slot. */
export interface Job extends JobPriority {
  /** Longest wait that the sender accepts at this target. */
  readonly maxWaitMs: number;
  /** Called once when the job gets a slot. */
  readonly start: () => void;
  /** Called once if the job is refused while queued. */
  readonly refuse: (reason: JobRefusalReason) => void;
}

/** Result of offering a job. */
export type OfferResult =
  | {readonly kind: 'started' | 'queued'}
  | {readonly kind: 'refused'; readonly reason: JobRefusalReason};

/** Load of a target as reported to senders. */
export interface SchedulerLoad {
  readonly slots: number;
  readonly running: number;
  readonly waiting: number;
}
