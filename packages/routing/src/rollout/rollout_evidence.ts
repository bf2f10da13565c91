/** What is known of the answers of two versions of a service, by route. */

/** Answers of one version on one route in some time. */
export interface AnswerSample {
  readonly count: number;
  /** Failed answers: errors of the target, lost and late ones. */
  readonly failedCount: number;
  /** Answers with a run time, and the moments of its natural logarithm (in ms). */
  readonly timedCount: number;
  readonly logRunSum: number;
  readonly logRunSquareSum: number;
}

/** Answers of both versions on one route since the last report. */
export interface RouteReport {
  readonly routeId: string;
  readonly oldAnswers: AnswerSample;
  readonly newAnswers: AnswerSample;
}

/** Sums of both versions over a span of time. */
export interface VersionSums {
  readonly oldAnswers: AnswerSample;
  readonly newAnswers: AnswerSample;
}

export const NO_ANSWERS: AnswerSample = {
  count: 0,
  failedCount: 0,
  timedCount: 0,
  logRunSum: 0,
  logRunSquareSum: 0,
};

/** Time for which reports count as recent: a version can become bad later. */
const RECENT_MS = 10_000;

interface TimedReport {
  readonly atMs: number;
  readonly report: RouteReport;
}

/** Adds two samples. */
export function addSamples(
  left: AnswerSample,
  right: AnswerSample,
): AnswerSample {
  return {
    count: left.count + right.count,
    failedCount: left.failedCount + right.failedCount,
    timedCount: left.timedCount + right.timedCount,
    logRunSum: left.logRunSum + right.logRunSum,
    logRunSquareSum: left.logRunSquareSum + right.logRunSquareSum,
  };
}

/** Returns the sample of one answer; a failed one has no run time. */
export function newAnswerSample(runMs: number | undefined): AnswerSample {
  if (runMs === undefined) return {...NO_ANSWERS, count: 1, failedCount: 1};
  const logRun = Math.log(Math.max(1, runMs));
  return {
    count: 1,
    failedCount: 0,
    timedCount: 1,
    logRunSum: logRun,
    logRunSquareSum: logRun * logRun,
  };
}

/** Sums reports since the order of a roll-out, and recent ones. */
export class RolloutEvidence {
  private readonly sumsByRoute = new Map<string, VersionSums>();
  private recent: TimedReport[] = [];
  private allSums: VersionSums = newSums();

  record(reports: readonly RouteReport[], nowMs: number): void {
    for (const report of reports) {
      this.recent.push({atMs: nowMs, report});
      this.allSums = addReport(this.allSums, report);
      const sums = this.sumsByRoute.get(report.routeId) ?? newSums();
      this.sumsByRoute.set(report.routeId, addReport(sums, report));
    }
    this.recent = this.recent.filter(({atMs}) => nowMs - atMs < RECENT_MS);
  }

  /** Answers of the whole service since the order. */
  getTotal(): VersionSums {
    return this.allSums;
  }

  /** Answers by route since the order. */
  getByRoute(): ReadonlyMap<string, VersionSums> {
    return this.sumsByRoute;
  }

  /**
   * Recent answers of the new version by route. Those of the old version count since
   * the order, since it may get no requests any more.
   */
  getRecentByRoute(): ReadonlyMap<string, VersionSums> {
    const sumsByRoute = new Map<string, VersionSums>();
    for (const {report} of this.recent) {
      const {routeId, newAnswers} = report;
      const oldAnswers =
        this.sumsByRoute.get(routeId)?.oldAnswers ?? NO_ANSWERS;
      const known = sumsByRoute.get(routeId)?.newAnswers ?? NO_ANSWERS;
      const sums = {oldAnswers, newAnswers: addSamples(known, newAnswers)};
      sumsByRoute.set(routeId, sums);
    }
    return sumsByRoute;
  }
}

function newSums(): VersionSums {
  return {oldAnswers: NO_ANSWERS, newAnswers: NO_ANSWERS};
}

function addReport(sums: VersionSums, report: RouteReport): VersionSums {
  return {
    oldAnswers: addSamples(sums.oldAnswers, report.oldAnswers),
    newAnswers: addSamples(sums.newAnswers, report.newAnswers),
  };
}
