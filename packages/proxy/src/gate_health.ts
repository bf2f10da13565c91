/** What an entry knows of each gate: its own calls, reported load, failures. */

import type {InstanceId} from '@cassiaknot/inventory';
import {LRUCache} from 'lru-cache';
import type {GateReply} from './gate_client.js';

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

/** Soft state about gates; nothing in it is certain. */
export class GateHealth {
  private readonly gates = new LRUCache<InstanceId, GateState>({
    max: MAX_GATES,
  });

  /** Records that a call begins. */
  recordStart(instanceId: InstanceId): void {
    this.getState(instanceId).inFlightCount += 1;
  }

  /** Records what became of a call. */
  recordEnd(instanceId: InstanceId, reply: GateReply): void {
    const state = this.getState(instanceId);
    state.inFlightCount = Math.max(0, state.inFlightCount - 1);
    if (isGateFailure(reply)) {
      state.failureCount += 1;
      const ejectionMs = MIN_EJECTION_MS * 2 ** (state.failureCount - 1);
      const boundedMs = Math.min(MAX_EJECTION_MS, ejectionMs);
      state.ejectedUntilMs = performance.now() + boundedMs;
      return;
    }
    state.failureCount = 0;
    state.ejectedUntilMs = 0;
    if (reply.load === undefined) return;
    state.reportedLoad = reply.load;
    state.reportedAtMs = performance.now();
  }

  /** Whether a gate failed recently and is left alone for now. */
  isEjected(instanceId: InstanceId): boolean {
    const state = this.gates.get(instanceId);
    return state !== undefined && state.ejectedUntilMs > performance.now();
  }

  /** Estimates the requests at a gate: the own ones and a fading report. */
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

// Answers about the target are no failures of the gate, but a gate without a
// target or with another one is best left alone until the members say so.
function isGateFailure(reply: GateReply): boolean {
  const {outcome} = reply;
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
