/** Messages between the start benchmark and its daemons. */

import {z} from 'zod';

/** Ports of each daemon, which has a loopback address of its own. */
export const CALLER_PORT = 15_001;
export const PEER_PORT = 15_002;
export const GATE_PORT = 15_003;
export const METRICS_PORT = 15_004;

/** Validates the settings of one daemon. */
export const START_SETTINGS_SCHEMA = z.object({
  instanceId: z.string(),
  dataCentreId: z.string(),
  serviceId: z.string(),
  host: z.string(),
  seeds: z.array(z.string()),
  storeUrl: z.string(),
  targetAddress: z.string(),
  /** Time after the start at which the processor time is read. */
  durationMs: z.number(),
  /** Whether the time is divided into parts, which costs some time itself. */
  isProfiled: z.boolean(),
});

/** Validates the report of one daemon. */
export const START_REPORT_SCHEMA = z.object({
  /** Processor time until the modules were loaded. */
  loadMs: z.number(),
  /** Processor time until the end of the measurement, the load included. */
  cpuMs: z.number(),
  cpuAtReadyMs: z.number(),
  readyAfterMs: z.number(),
  openLinks: z.number(),
  /** Sampled time by part; empty unless profiled. */
  parts: z.array(z.object({part: z.string(), sampledMs: z.number()})),
});

export type StartSettings = z.infer<typeof START_SETTINGS_SCHEMA>;
/** What one daemon used during its start. */
export type StartReport = z.infer<typeof START_REPORT_SCHEMA>;
