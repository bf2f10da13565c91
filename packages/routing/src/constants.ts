/** Parameters of the load policies. */

/** Weight of a new sample in a smoothed mean; about the last ten count. */
export const SMOOTHING_WEIGHT = 0.1;
/** Share of the latency objective that a run of an unknown route may take. */
export const INITIAL_WORK_SHARE = 0.3;
/** Time for which a target's reported wait is taken as still true. */
export const REPORT_HALF_LIFE_MS = 250;
/** Part of a latency objective that another data centre has to save. */
export const REMOTE_PENALTY_SHARE = 0.3;
/** What of that part falls away where the own data centre may be late. */
export const UNSAFE_LOCAL_PENALTY_SHARE = 0.15;
/** Part of the expected run time that has to be left for a run to begin. */
export const MIN_WORK_SHARE = 0.4;
/** Factor on the run time of a target that has just started. */
export const COLD_FACTOR = 2;
/** Failure share from which a target is avoided in favour of its peers. */
export const FAILURE_PENALTY_OBJECTIVES = 2;
/** Factor on the expected run time that covers most of its spread. */
export const WORK_SPREAD_FACTOR = 1.5;
/** Time of uninterrupted waiting after which a queue is more than a burst. */
export const STANDING_BACKLOG_MS = 300;
/** Part of the mean run at a target below which a run counts as short. */
export const SHORT_RUN_SHARE = 0.5;
