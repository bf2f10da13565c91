/** What a gate tells of its target, and offers that it declines before the queue. */

import type {ServiceId} from '@cassiaknot/inventory';
import type {Job, JobPriority} from '@cassiaknot/routing';
import type {LoadFields, ReceivedOffer} from './gate_call.js';
import {toReportedPriority} from './gate_shares.js';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {RefusalReason} from './outcome.js';
import type {RelayTargetSession} from './target_session.js';

/** Value of `runMs` in frames while the run time of the route is unknown. */
const UNKNOWN_RUN_MS = -1;

/** Returns why the target can't take requests of a service, if so. */
export function checkAdmission(
  session: RelayTargetSession | undefined,
  serviceId: ServiceId,
  isStopping: boolean,
): RefusalReason | undefined {
  if (!session) return 'no-target';
  if (session.getAnnouncement().serviceId !== serviceId) {
    return 'wrong-service';
  }
  if (isStopping) return 'stopping';
  switch (session.getState()) {
    case 'open':
      return undefined;
    case 'down':
      return 'target-down';
    case 'draining':
    case 'ended':
      return 'draining';
  }
}

/**
 * Whether a target would take longer than the entry expects of others. The figures
 * of the entry are older than those of the gate, so the decision is made here.
 */
export function isSlowerThanOthers(
  job: Job,
  {maxFinishMs}: RelayFrameOf<'offer'>,
  session: RelayTargetSession,
  nowMs: number,
): boolean {
  if (maxFinishMs === undefined || !session.getLearnedLoad()) return false;
  const waitMs = session.scheduler.estimateWaitMs(job, nowMs);
  return waitMs + job.expectedRunMs > maxFinishMs;
}

/** Returns the load that a reply reports for the route of its request. */
export function getLoadFields(received: ReceivedOffer): LoadFields {
  const {session, offer, transitMs} = received;
  if (!session) return {waitMs: 0, runMs: UNKNOWN_RUN_MS, transitMs};
  const nowMs = performance.now();
  const {ruleId, objectiveMs} = offer;
  const candidate: JobPriority = {
    ...toReportedPriority(offer),
    isFromElsewhere: offer.isFromElsewhere,
    expectedRunMs: session.estimateRunMs(ruleId, objectiveMs),
    objectiveAtMs: nowMs + objectiveMs,
    deadlineAtMs: nowMs + offer.remainingMs,
  };
  const waitMs = session.scheduler.estimateWaitMs(candidate, nowMs);
  const runMs = session.getMeanRunMs(ruleId) ?? UNKNOWN_RUN_MS;
  return {waitMs, runMs, transitMs, ...session.getLearnedLoad()};
}

/** Returns the state of the target for the entries. */
export function toTargetState(
  session: RelayTargetSession | undefined,
  isStopping: boolean,
): RelayFrameOf<'target-state'> {
  const isOpen = session?.getState() === 'open';
  return {
    kind: 'target-state',
    serviceId: session?.getAnnouncement().serviceId ?? '',
    isAccepting: isOpen && !isStopping,
    slots: session?.getAnnouncement().slots ?? 0,
    coldMs: session?.getWarmUpLeftMs() ?? 0,
    targetId: session?.getAnnouncement().targetId,
    startedAtMs: session?.getAnnouncement().startedAtMs,
  };
}
