/** A target that takes time for a request and calls other services. */

import type {
  TargetClient,
  TargetExchange,
  TargetRequest,
} from '@cassiaknot/relay';
import {drawWorkMs} from '@cassiaknot/routing/testing';
import type {ModelCall, ModelKind, ModelTarget} from './types.js';

const FAILED_STATUS = 500;
const EMPTY_BODY = new Uint8Array();

/** What a target needs of the model around it. */
export interface TargetSurroundings {
  readonly random: () => number;
  readonly findKind: (path: string) => ModelKind;
  /** Makes a call; `false` if it was not answered with success. */
  readonly call: (
    target: ModelTarget,
    call: ModelCall,
    leftMs: number,
  ) => Promise<boolean>;
}

/** Runs requests on the model's clock. */
export class ModelledTarget implements TargetClient {
  constructor(
    private readonly target: ModelTarget,
    private readonly surroundings: TargetSurroundings,
  ) {}

  async send(request: TargetRequest): Promise<TargetExchange> {
    const kind = this.surroundings.findKind(request.path);
    const deadlineAtMs = performance.now() + kind.deadlineMs;
    const isWhole = await this.work(kind, request.signal);
    if (!isWhole) return {kind: 'lost', reason: 'cancelled'};
    const isServed = await this.makeCalls(kind, deadlineAtMs);
    return {
      kind: 'response',
      statusCode: isServed ? 200 : FAILED_STATUS,
      headers: {'content-length': '0'},
      body: EMPTY_BODY,
    };
  }

  probe(): Promise<boolean> {
    return Promise.resolve(true);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private work(kind: ModelKind, signal: AbortSignal): Promise<boolean> {
    const {random} = this.surroundings;
    const runMs = this.target.speedFactor * drawWorkMs(kind.workMs, random);
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve(true), runMs);
      const handleAbort = () => {
        clearTimeout(timer);
        resolve(false);
      };
      signal.addEventListener('abort', handleAbort, {once: true});
    });
  }

  private async makeCalls(
    kind: ModelKind,
    deadlineAtMs: number,
  ): Promise<boolean> {
    const {random, call} = this.surroundings;
    for (const item of kind.calls) {
      if (random() >= item.share) continue;
      const leftMs = deadlineAtMs - performance.now();
      if (!(await call(this.target, item, leftMs))) return false;
    }
    return true;
  }
}
