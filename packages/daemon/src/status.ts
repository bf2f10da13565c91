/** Status of a daemon, as reported to operators. */

import type {Coordinator} from '@cassiaknot/coordination';
import {isLiveState} from '@cassiaknot/coordination';
import {describeProblem} from '@cassiaknot/inventory';
import type {
  LatencySummary,
  ProxyMeter,
  TargetRegistry,
} from '@cassiaknot/proxy';

/** Status of the local target. */
export interface TargetStatus {
  readonly serviceId: string;
  readonly address: string;
  readonly slots: number;
  readonly runningCount: number;
  readonly waitingCount: number;
}

/** A configuration version that was received but not applied. */
export interface SkippedVersionStatus {
  readonly version: number;
  readonly problems: readonly string[];
}

/** Status of a daemon. */
export interface DaemonStatus {
  readonly instanceId: string;
  readonly dataCentreId: string;
  readonly isReady: boolean;
  readonly version: number;
  readonly digest: string;
  readonly skipped: SkippedVersionStatus | undefined;
  readonly liveMemberCount: number;
  readonly target: TargetStatus | undefined;
  readonly addedLatency: LatencySummary;
  readonly totalLatency: LatencySummary;
  readonly memoryBytes: number;
  readonly cpuUs: number;
}

/** Status of a member in the daemon's membership view. */
export interface MemberStatus {
  readonly instanceId: string;
  readonly state: string;
  readonly dataCentreId: string;
  readonly serviceId: string | undefined;
  readonly gateAddress: string;
}

/** Components that a daemon's status is read from. */
export interface StatusSources {
  readonly instanceId: string;
  readonly dataCentreId: string;
  readonly coordinator: Coordinator;
  readonly targets: TargetRegistry;
  readonly meter: ProxyMeter;
}

/** Returns the current status of a daemon. */
export function getDaemonStatus(sources: StatusSources): DaemonStatus {
  const {coordinator, dataCentreId, instanceId, meter} = sources;
  const {state} = coordinator.getConfiguration();
  const cpu = process.cpuUsage();
  return {
    instanceId,
    dataCentreId,
    isReady: coordinator.isReady(),
    version: state.version,
    digest: state.digest,
    skipped: getSkippedVersionStatus(coordinator),
    liveMemberCount: countLiveMembers(coordinator),
    target: getTargetStatus(sources.targets),
    addedLatency: meter.getAddedLatency(),
    totalLatency: meter.getTotalLatency(),
    memoryBytes: process.memoryUsage().rss,
    cpuUs: cpu.user + cpu.system,
  };
}

/** Lists the members in the daemon's membership view. */
export function getMemberStatuses(coordinator: Coordinator): MemberStatus[] {
  const statuses: MemberStatus[] = [];
  for (const record of coordinator.getMembership().records.values()) {
    statuses.push({
      instanceId: record.instanceId,
      state: record.state,
      dataCentreId: record.dataCentreId,
      serviceId: record.target?.serviceId,
      gateAddress: record.gateAddress,
    });
  }
  return statuses;
}

/** Counts the members that are not known to be dead or to have left. */
export function countLiveMembers(coordinator: Coordinator): number {
  let count = 0;
  for (const record of coordinator.getMembership().records.values()) {
    if (isLiveState(record.state)) count += 1;
  }
  return count;
}

function getSkippedVersionStatus(
  coordinator: Coordinator,
): SkippedVersionStatus | undefined {
  const skipped = coordinator.getSkippedVersion();
  if (!skipped) return undefined;
  const {version, problems} = skipped;
  return {version, problems: problems.map(describeProblem)};
}

function getTargetStatus(targets: TargetRegistry): TargetStatus | undefined {
  const session = targets.getSession();
  if (!session) return undefined;
  const {serviceId, address, slots} = session.announcement;
  return {
    serviceId,
    address,
    slots,
    runningCount: session.queue.getRunningCount(),
    waitingCount: session.queue.getWaitingCount(),
  };
}
