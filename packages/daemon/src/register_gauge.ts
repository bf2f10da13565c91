/** Gauges that are read when the metrics are asked for. */

import type {Registry} from 'prom-client';
import {Gauge} from 'prom-client';

/** Registers a gauge whose value is read on each request for metrics. */
export function registerGauge(
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
