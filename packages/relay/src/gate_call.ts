/** Requests as a gate keeps them. */

import type {ServiceId} from '@cassiaknot/inventory';
import type {
  Fingerprint,
  RelayFrameOf,
  RelayLink,
} from '@cassiaknot/peer-protocol';
import type {Job} from '@cassiaknot/routing';
import type {Holding} from './held_memory.js';
import type {LoggedCall} from './gate_log.js';
import type {RefusalReason} from './outcome.js';
import type {RelayTargetSession} from './target_session.js';

/** An offer as it reached the gate. */
export interface ReceivedOffer {
  readonly link: RelayLink;
  readonly offer: RelayFrameOf<'offer'>;
  readonly session: RelayTargetSession | undefined;
  readonly transitMs: number;
}

/** Load that a gate reports with its replies. */
export type LoadFields = Pick<
  RelayFrameOf<'refusal'>,
  'waitMs' | 'runMs' | 'transitMs'
>;

/** A request offered by an entry that is queued or running. */
export interface Call extends LoggedCall {
  readonly link: RelayLink;
  readonly fingerprint: Fingerprint;
  readonly controller: AbortController;
  readonly job: Job;
  /** Memory of the body of a request that has one. */
  readonly bodyHolding: Holding | undefined;
  isRunning: boolean;
  isSettled: boolean;
}

/** Returns why a session admits no request for a service, if so. */
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
