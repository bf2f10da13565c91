/** Whether a gate takes offers for a service at all. */

import type {ServiceId} from '@cassiaknot/inventory';
import type {RefusalReason} from './outcome.js';
import type {RelayTargetSession} from './target_session.js';

/** Returns why the offers for a service are refused; undefined if they are not. */
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
