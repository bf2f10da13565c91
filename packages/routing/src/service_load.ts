/** Mean load of the targets of one service, as an entry learns it from replies. */

import {Ewma, KeyedEwma} from './ewma.js';
import {SpillWindow} from './spill_window.js';

/** Weight of one reply in the means. */
const REPLY_WEIGHT = 0.05;

/** Load that a gate reports of its target with a reply. */
export interface LoadReport {
  readonly waitMs: number;
  /** Expected run time at the current pace; negative if unknown. */
  readonly runMs: number;
  readonly pace: number;
}

/**
 * Means over the targets of a service that report their pace. They stand in for
 * figures of a target that are too old.
 */
export class ServiceLoad<K> {
  private readonly pace = new Ewma(REPLY_WEIGHT);
  private readonly waitMs = new Ewma(REPLY_WEIGHT);
  private readonly finishMs = new KeyedEwma<K>();
  private readonly spillWindows = new Map<string, SpillWindow>();

  /** Records a report for one route. */
  record(route: K, {waitMs, runMs, pace}: LoadReport): void {
    this.pace.record(pace);
    this.waitMs.record(waitMs);
    if (runMs >= 0) this.finishMs.record(route, waitMs + runMs);
  }

  /** Returns the mean pace; undefined if no target reports one. */
  getMeanPace(): number | undefined {
    return this.pace.get();
  }

  getMeanWaitMs(): number {
    return this.waitMs.get() ?? 0;
  }

  /** Returns the bound on requests to the service in another data centre. */
  getSpillWindow(dataCentreId: string): SpillWindow {
    let window = this.spillWindows.get(dataCentreId);
    if (!window) {
      window = new SpillWindow();
      this.spillWindows.set(dataCentreId, window);
    }
    return window;
  }

  /** Returns the mean time until a response of a route, if one is known. */
  getMeanFinishMs(route: K): number | undefined {
    return this.finishMs.get(route);
  }
}
