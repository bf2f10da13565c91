/** A simulated target: requests take random time and call other services. */

import type {
  RelayTargetClient,
  TargetExchange,
  TargetRequest,
} from '@cassiaknot/relay';
import {sampleRunMs} from '@cassiaknot/routing/testing';
import type {DownstreamCall, RequestKind, TargetSpec} from './types.js';

const FAILURE_STATUS = 500;
const EMPTY_BODY = new Uint8Array();

/** The parts of the load model that a target uses. */
export interface TargetEnvironment {
  readonly random: () => number;
  readonly findKind: (path: string) => RequestKind;
  /** Makes a downstream call; resolves to whether it succeeded. */
  readonly call: (
    target: TargetSpec,
    call: DownstreamCall,
    remainingMs: number,
  ) => Promise<boolean>;
}

/** Runs requests on the simulated clock. */
export class ModelledTarget implements RelayTargetClient {
  constructor(
    private readonly target: TargetSpec,
    private readonly environment: TargetEnvironment,
  ) {}

  async send(request: TargetRequest): Promise<TargetExchange> {
    const kind = this.environment.findKind(request.path);
    const deadlineAtMs = performance.now() + kind.deadlineMs;
    const isCompleted = await this.simulateWork(kind, request.signal);
    if (!isCompleted) return {kind: 'lost', reason: 'cancelled'};
    const hasSucceeded = await this.makeDownstreamCalls(kind, deadlineAtMs);
    const head = {
      statusCode: hasSucceeded ? 200 : FAILURE_STATUS,
      headers: {'content-length': '0'},
      precedingResponseCount: 0,
    };
    const classification = request.classify(head);
    return {kind: 'response', ...head, classification, body: EMPTY_BODY};
  }

  probe(): Promise<boolean> {
    return Promise.resolve(true);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  closeWhenIdle(): Promise<void> {
    return Promise.resolve();
  }

  private simulateWork(
    kind: RequestKind,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {random} = this.environment;
    const workMs =
      this.target.slowdownFactor * sampleRunMs(kind.meanWorkMs, random);
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve(true), workMs);
      const handleAbort = () => {
        clearTimeout(timer);
        resolve(false);
      };
      signal.addEventListener('abort', handleAbort, {once: true});
    });
  }

  private async makeDownstreamCalls(
    kind: RequestKind,
    deadlineAtMs: number,
  ): Promise<boolean> {
    const {random, call} = this.environment;
    for (const item of kind.calls) {
      if (random() >= item.probability) continue;
      const remainingMs = deadlineAtMs - performance.now();
      if (!(await call(this.target, item, remainingMs))) return false;
    }
    return true;
  }
}
