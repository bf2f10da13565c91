/** Fair shares of workspaces, as the gate applies them to offers. */

import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {JobPriority, WorkspaceShare} from '@cassiaknot/routing';
import {getWorkspaceUrgency} from './authentication.js';
import type {ReceivedOffer} from './gate_call.js';
import type {LogFields} from './observer.js';
import type {RefusalReason} from './outcome.js';

type Offer = Pick<RelayFrameOf<'offer'>, 'urgency' | 'workspaceId'>;
type SharePriority = Pick<
  JobPriority,
  'urgency' | 'workspaceId' | 'workspaceUrgency'
>;

/** An id that no workspace has, for a workspace without recent use. */
const UNUSED_WORKSPACE_ID = '';

/** Returns the priority of an offer, with the workspace on whose account it runs. */
export function toSharePriority({urgency, workspaceId}: Offer): SharePriority {
  if (workspaceId === undefined) return {urgency};
  const workspaceUrgency = getWorkspaceUrgency(urgency);
  return {urgency, workspaceId, workspaceUrgency};
}

/**
 * Returns the priority for which a gate reports its wait: that of a workspace within
 * its share, since entries use the report for the requests of all workspaces.
 */
export function toReportedPriority(offer: Offer): SharePriority {
  const priority = toSharePriority(offer);
  if (priority.workspaceId === undefined) return priority;
  return {...priority, workspaceId: UNUSED_WORKSPACE_ID};
}

/** Returns the share that decided a refusal; undefined if it was another reason. */
export function findDecidingShare(
  {offer, session}: ReceivedOffer,
  reason: RefusalReason,
  nowMs: number,
): WorkspaceShare | undefined {
  if (reason !== 'over-share' || offer.workspaceId === undefined) {
    return undefined;
  }
  return session?.scheduler.getShare(offer.workspaceId, nowMs);
}

/** Returns the log fields of the share that decided a refusal. */
export function describeShare(share: WorkspaceShare | undefined): LogFields {
  if (!share) return {};
  return {
    shareUseMs: Math.round(share.useMs),
    shareLimitMs: Math.round(share.limitMs),
    shareDemandMs: Math.round(share.demandMs),
    shareWaitMs: Math.round(share.waitMs),
  };
}
