/** Registration of gauges that are sampled on each scrape. */

import type {Registry} from 'prom-client';
import {Gauge} from 'prom-client';

/** Registers a gauge whose value is read on each scrape. */
export function registerGauge(
  registry: Registry,
  name: string,
  help: string,
  readValue: () => number,
): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(readValue());
    },
  });
}
