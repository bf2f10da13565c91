/** Remembers the highest version that each instance has reported. */

import type {InstanceId} from '@cassiaknot/inventory';
import {LRUCache} from 'lru-cache';
import {MAX_REMEMBERED_INSTANCES} from './constants.js';

/** Gives a restarted instance the version below which it must not serve. */
export class VersionBook {
  private readonly versions = new LRUCache<InstanceId, number>({
    max: MAX_REMEMBERED_INSTANCES,
  });

  /** Records a version that an instance reported. */
  record(instanceId: InstanceId, version: number): void {
    if (version <= this.getFloor(instanceId)) return;
    this.versions.set(instanceId, version);
  }

  /** Returns the highest version reported, 0 if none is known. */
  getFloor(instanceId: InstanceId): number {
    return this.versions.get(instanceId) ?? 0;
  }
}
