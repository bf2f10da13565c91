/** What a daemon tells operators about itself. */

import type {Coordinator} from '@cassiaknot/coordination';
import {isLiveState} from '@cassiaknot/coordination';
import {describeProblem} from '@cassiaknot/inventory';
import type {
  LatencySummary,
  ProxyMeter,
  TargetRegistry,
} from '@cassiaknot/proxy';

/** The target beside a daemon. */
export interface TargetStatus {
  readonly serviceId: string;
  readonly address: string;
  readonly slots: number;
  readonly runningCount: number;
  readonly waitingCount: number;
}

/** A version that is known but not in force. */
export interface SkippedStatus {
  readonly version: number;
  readonly problems: readonly string[];
}

/** State of a daemon. */
export interface DaemonStatus {
  readonly instanceId: string;
  readonly dataCentreId: string;
  readonly isReady: boolean;
  readonly version: number;
  readonly digest: string;
  readonly skipped: SkippedStatus | undefined;
  readonly liveMemberCount: number;
  readonly target: TargetStatus | undefined;
  readonly addedLatency: LatencySummary;
  readonly totalLatency: LatencySummary;
  readonly memoryBytes: number;
  readonly cpuUs: number;
}

/** One member as a daemon sees it. */
export interface MemberStatus {
  readonly instanceId: string;
  readonly state: string;
  readonly dataCentreId: string;
  readonly serviceId: string | undefined;
  readonly gateAddress: string;
}

/** Parts of a daemon that its status is read from. */
export interface StatusSources {
  readonly instanceId: string;
  readonly dataCentreId: string;
  readonly coordinator: Coordinator;
  readonly targets: TargetRegistry;
  readonly meter: ProxyMeter;
}

/** Reads the state of a daemon. */
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
    skipped: getSkippedStatus(coordinator),
    liveMemberCount: countLiveMembers(coordinator),
    target: getTargetStatus(sources.targets),
    addedLatency: meter.getAddedLatency(),
    totalLatency: meter.getTotalLatency(),
    memoryBytes: process.memoryUsage().rss,
    cpuUs: cpu.user + cpu.system,
  };
}

/** Lists the members as a daemon sees them. */
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

/** Counts the members that are not known to be gone. */
export function countLiveMembers(coordinator: Coordinator): number {
  let count = 0;
  for (const record of coordinator.getMembership().records.values()) {
    if (isLiveState(record.state)) count += 1;
  }
  return count;
}

function getSkippedStatus(coordinator: Coordinator): SkippedStatus | undefined {
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
