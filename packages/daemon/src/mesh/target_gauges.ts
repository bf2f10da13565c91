/** Gauges of the queue in front of the local target. */

import type {LocalTarget} from '@cassiaknot/relay';
import type {MeshGauges} from './mesh_meter.js';

/** Returns the gauges of the current target; 0 while there is none. */
export function newTargetGauges(
  localTarget: LocalTarget,
): Pick<
  MeshGauges,
  | 'getWaitingCount'
  | 'getRunningCount'
  | 'getOverShareCount'
  | 'getTargetLimit'
  | 'getTargetPace'
> {
  const getSession = () => localTarget.getSession();
  return {
    getWaitingCount: () => getSession()?.getLoad().waiting ?? 0,
    getRunningCount: () => getSession()?.getLoad().running ?? 0,
    getTargetLimit: () => getSession()?.getLimit() ?? 0,
    getTargetPace: () => getSession()?.getLearnedLoad()?.pace ?? 1,
    getOverShareCount: () =>
      getSession()?.scheduler.countOverShare(performance.now()) ?? 0,
  };
}
