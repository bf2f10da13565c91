/** Tracks the highest version that each instance has reported. */

import type {InstanceId} from '@cassiaknot/inventory';
import {LRUCache} from 'lru-cache';
import {MAX_TRACKED_INSTANCES} from './constants.js';

/** Provides the minimum version that a restarted instance must serve. */
export class ReportedVersions {
  private readonly versions = new LRUCache<InstanceId, number>({
    max: MAX_TRACKED_INSTANCES,
  });

  record(instanceId: InstanceId, version: number): void {
    if (version <= this.getFloorVersion(instanceId)) return;
    this.versions.set(instanceId, version);
  }

  /** Returns the highest reported version, or 0 if none is known. */
  getFloorVersion(instanceId: InstanceId): number {
    return this.versions.get(instanceId) ?? 0;
  }
}
