/** A simulated target: requests take random time and call other services. */

import type {
  RelayTargetClient,
  TargetExchange,
  TargetRequest,
} from '@cassiaknot/relay';
import {sampleRunMs} from '@cassiaknot/routing/testing';
import type {
  DownstreamCall,
  PaceSpec,
  RequestKind,
  TargetSpec,
} from './types.js';

const FAILURE_STATUS = 500;
const EMPTY_BODY = new Uint8Array();
/** Response header with the pace of the target, 1 as usual. */
export const PACE_HEADER = 'pace';

/** The parts of the load model that a target uses. */
export interface TargetEnvironment {
  /** Called when a request reaches the target. */
  readonly recordArrival: (target: TargetSpec, path: string) => void;
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
  private pace = 1;
  private runningCount = 0;

  constructor(
    private readonly target: TargetSpec,
    private readonly environment: TargetEnvironment,
  ) {
    if (target.pace) this.changePace(target.pace);
  }

  async send(request: TargetRequest): Promise<TargetExchange> {
    this.environment.recordArrival(this.target, request.path);
    this.runningCount += 1;
    const exchange = await this.run(request);
    this.runningCount -= 1;
    return exchange;
  }

  private changePace(spec: PaceSpec): void {
    const {random} = this.environment;
    this.pace = sampleRunMs(1, random, spec.logSigma);
    const intervalMs = -Math.log(1 - random()) * spec.meanIntervalMs;
    setTimeout(() => this.changePace(spec), intervalMs);
  }

  private async run(request: TargetRequest): Promise<TargetExchange> {
    const kind = this.environment.findKind(request.path);
    const deadlineAtMs = performance.now() + kind.deadlineMs;
    const isCompleted = await this.simulateWork(kind, request.signal);
    if (!isCompleted) return {kind: 'lost', reason: 'cancelled'};
    const hasSucceeded = await this.makeDownstreamCalls(kind, deadlineAtMs);
    const head = {
      statusCode: hasSucceeded ? 200 : FAILURE_STATUS,
      headers: this.getHeaders(),
      precedingResponseCount: 0,
    };
    const classification = request.classify(head);
    return {kind: 'response', ...head, classification, body: EMPTY_BODY};
  }

  private getHeaders(): Record<string, string> {
    const headers = {'content-length': '0'};
    if (!this.target.pace) return headers;
    return {...headers, [PACE_HEADER]: String(this.pace)};
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
    const {slowdownFactor, knee = Infinity, slowdownPerRun = 0} = this.target;
    const excess = Math.max(0, this.runningCount - knee);
    const workMs =
      slowdownFactor *
      this.pace *
      (excess > 0 ? 1 + slowdownPerRun * excess : 1) *
      sampleRunMs(kind.meanWorkMs, random);
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
