/** Parameters of the load policies. */

/** Weight of a new sample in a moving average; spans about ten samples. */
export const EWMA_WEIGHT = 0.1;
/** Assumed run time of a route without samples, as a share of its objective. */
export const DEFAULT_RUN_TIME_SHARE = 0.3;
/** Half-life of the weight given to a reported wait. */
export const WAIT_REPORT_HALF_LIFE_MS = 250;
/** Penalty for a target in another data centre, as a share of the objective. */
export const REMOTE_PENALTY_SHARE = 0.3;
/**
 * Penalty for a target in the same data centre that may miss the objective, as a
 * share of the objective.
 */
export const LATE_LOCAL_PENALTY_SHARE = 0.15;
/** Share of the expected run time that must be left for a run to start. */
export const MIN_RUN_TIME_SHARE = 0.4;
/** Factor on run times during the warm-up of a target. */
export const WARM_UP_RUN_TIME_FACTOR = 2;
/**
 * Penalty for a target in another data centre if targets report their pace. It
 * applies only where the own data centre may miss the objective, so it is small.
 */
export const PACED_REMOTE_PENALTY_SHARE = 0.1;
/** Penalty at a failure rate of 1, as a multiple of the latency objective. */
export const FAILURE_PENALTY_FACTOR = 2;
/** Factor on the expected run time that covers most of the spread of runs. */
export const RUN_SPREAD_FACTOR = 1.5;
/** Time without an empty queue after which there is a standing queue. */
export const STANDING_QUEUE_MS = 300;
/**
 * Time by which starts at a target with a limited rate may be ahead of an even
 * spacing.
 */
export const MAX_START_BURST_MS = 200;
/**
 * Lowest rate of starts at a target that limits its rate, so that its responses
 * tell when the limit ends.
 */
export const MIN_STARTS_PER_SECOND = 0.5;
/** Share of the mean run time of running jobs below which a job is short. */
export const SHORT_RUN_SHARE = 0.5;
/** Time over which reports of a pace are averaged. */
export const PACE_SMOOTHING_MS = 100;
/** Half-life of the difference between a reported pace and the mean. */
export const PACE_HALF_LIFE_MS = 300;
/** Requests to another data centre that an entry sends before it has answers. */
export const INITIAL_SPILL_WINDOW = 4;
/** Most requests to a service in another data centre that an entry has in flight. */
export const MAX_SPILL_WINDOW = 64;
/** Limits of the time without requests to a data centre that has refused one. */
export const MIN_SPILL_HOLD_MS = 20;
export const MAX_SPILL_HOLD_MS = 1_000;
/** Time without a reply after which figures of another data centre are stale. */
export const SPILL_SILENCE_MS = 2_000;
/** Half-life of the use and demand of workspaces and of the served shares of kinds. */
export const SHARE_HALF_LIFE_MS = 2_000;
/** Age up to which computed fair levels are used again. */
export const FAIR_LEVEL_TTL_MS = 50;
/**
 * Part of the mean served share that each workspace and each priority gets in any
 * case. The requirement is a quarter; the rest covers the delay of the averages.
 */
export const MIN_SERVED_PART = 0.3;
/** Maximum number of workspaces with an account; an idle one is dropped first. */
export const MAX_SHARE_ACCOUNTS = 4_096;
/** Maximum number of kinds (urgencies) whose served share is tracked. */
export const MAX_SHARE_KINDS = 256;
/** Number of recent offers below which the served share of a kind says little. */
export const MIN_KIND_OFFERS = 3;
/** Longest wait that a refusal for exceeding the fair share names. */
export const MAX_SHARE_WAIT_MS = 5_000;
