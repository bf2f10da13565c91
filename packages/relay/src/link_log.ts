/** Log lines about the links to gates. */

import type {InstanceId} from '@cassiaknot/inventory';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {RelayObserver} from './observer.js';

const COMPONENT = 'link';
const SUMMARY_INTERVAL_MS = 1_000;

/** Logs each change of a target; of links opened after a start only their number. */
export class LinkLog {
  /** Opened links that no line has counted yet. */
  private openedCount = 0;

  constructor(
    private readonly observer: RelayObserver,
    private summaryAtMs: number,
  ) {}

  logLost(gate: InstanceId): void {
    this.observer.log('info', COMPONENT, 'lost', {gate});
  }

  logTargetState(gate: InstanceId, state: RelayFrameOf<'target-state'>): void {
    const {serviceId, isAccepting, slots, coldMs} = state;
    this.observer.log('info', COMPONENT, 'target-state', {
      gate,
      serviceId,
      isAccepting,
      slots,
      coldMs: Math.round(coldMs),
    });
  }

  /** Records a link to an accepting gate for the next summary. */
  recordOpened(): void {
    this.openedCount += 1;
  }

  /** Logs the links opened since the last summary, at most once a second. */
  logSummary(nowMs: number, gateCount: number): void {
    if (this.openedCount === 0) return;
    if (nowMs - this.summaryAtMs < SUMMARY_INTERVAL_MS) return;
    this.summaryAtMs = nowMs;
    const {openedCount: accepting} = this;
    this.observer.log('info', COMPONENT, 'opened', {
      accepting,
      gates: gateCount,
    });
    this.openedCount = 0;
  }
}
