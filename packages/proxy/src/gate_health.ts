/** Health of each gate as seen by an entry: calls in flight, load, failures. */

import type {InstanceId} from '@cassiaknot/inventory';
import {LRUCache} from 'lru-cache';
import type {GateCallResult} from './gate_client.js';

const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 10_000;
const LOAD_HALF_LIFE_MS = 200;
const MAX_GATES = 10_000;

interface GateState {
  inFlightCount: number;
  reportedLoad: number;
  reportedAtMs: number;
  failureCount: number;
  ejectedUntilMs: number;
}

/** Passive health checks with outlier ejection; all state is an estimate. */
export class GateHealth {
  private readonly gates = new LRUCache<InstanceId, GateState>({
    max: MAX_GATES,
  });

  /** Records the start of a call. */
  recordStart(instanceId: InstanceId): void {
    this.getState(instanceId).inFlightCount += 1;
  }

  /** Records the result of a call. */
  recordEnd(instanceId: InstanceId, result: GateCallResult): void {
    const state = this.getState(instanceId);
    state.inFlightCount = Math.max(0, state.inFlightCount - 1);
    if (isGateFailure(result)) {
      state.failureCount += 1;
      const ejectionMs = MIN_EJECTION_MS * 2 ** (state.failureCount - 1);
      const boundedMs = Math.min(MAX_EJECTION_MS, ejectionMs);
      state.ejectedUntilMs = performance.now() + boundedMs;
      return;
    }
    state.failureCount = 0;
    state.ejectedUntilMs = 0;
    if (result.load === undefined) return;
    state.reportedLoad = result.load;
    state.reportedAtMs = performance.now();
  }

  /** Whether a gate is ejected from load balancing after recent failures. */
  isEjected(instanceId: InstanceId): boolean {
    const state = this.gates.get(instanceId);
    return state !== undefined && state.ejectedUntilMs > performance.now();
  }

  /**
   * Estimates the number of requests at a gate: the larger of this entry's
   * calls in flight and the last reported load, which decays with its age.
   */
  estimateLoad(instanceId: InstanceId): number {
    const state = this.gates.get(instanceId);
    if (!state) return 0;
    const ageMs = performance.now() - state.reportedAtMs;
    const weight = 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
    return Math.max(state.inFlightCount, state.reportedLoad * weight);
  }

  private getState(instanceId: InstanceId): GateState {
    const known = this.gates.get(instanceId);
    if (known) return known;
    const state: GateState = {
      inFlightCount: 0,
      reportedLoad: 0,
      reportedAtMs: 0,
      failureCount: 0,
      ejectedUntilMs: 0,
    };
    this.gates.set(instanceId, state);
    return state;
  }
}

// A gate whose target is gone, draining or another one is ejected as well; this
// leaves the membership time to show the change. Refusals such as `queue-full`
// come from a healthy gate.
function isGateFailure(result: GateCallResult): boolean {
  const {outcome} = result;
  switch (outcome.kind) {
    case 'answered':
      return false;
    case 'not-run':
      return (
        outcome.reason === 'connect-failed' ||
        outcome.reason === 'wrong-instance' ||
        outcome.reason === 'target-gone' ||
        outcome.reason === 'draining'
      );
    case 'unknown':
      return (
        outcome.reason === 'gate-lost' ||
        outcome.reason === 'gate-timeout' ||
        outcome.reason === 'target-lost'
      );
  }
}
