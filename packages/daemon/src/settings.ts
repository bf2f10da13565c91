/** Daemon settings: an INI file that is validated before the daemon starts. */

import {readFile} from 'node:fs/promises';
import * as ini from 'ini';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import {z} from 'zod';
import {
  DATA_CENTRE_ID_SCHEMA,
  INSTANCE_ID_SCHEMA,
  PEER_ADDRESS_SCHEMA,
} from '@cassiaknot/peer-protocol';

/** Invalid settings or an unreadable settings file. */
export interface SettingsError {
  readonly messages: readonly string[];
}

/** Override of one setting from the command line. */
export interface SettingOverride {
  /** `section.name`. */
  readonly path: string;
  readonly value: string;
}

const PORT_SCHEMA = z.coerce.number().int().min(1).max(65_535);
const BOOLEAN_SCHEMA = z
  .union([z.boolean(), z.enum(['true', 'false'])])
  .transform(value => value === true || value === 'true');

function newIntegerSchema(min: number, max: number, defaultValue: number) {
  return z.coerce.number().int().min(min).max(max).default(defaultValue);
}

const ADDRESS_LIST_SCHEMA = z
  .string()
  .default('')
  .transform(text => text.split(',').map(item => item.trim()))
  .transform(items => items.filter(item => item !== ''))
  .pipe(z.array(PEER_ADDRESS_SCHEMA));

const SETTINGS_SCHEMA = z.strictObject({
  daemon: z.strictObject({
    instance_id: INSTANCE_ID_SCHEMA,
    data_centre: DATA_CENTRE_ID_SCHEMA,
    address: z.string().min(1).default('127.0.0.1'),
    // Time for which requests are still served after the stop signal.
    drain_ms: newIntegerSchema(0, 600_000, 2_000),
    // Time that each server then gets to complete its requests in flight.
    stop_timeout_ms: newIntegerSchema(0, 600_000, 30_000),
    random_seed: z.coerce.number().int().optional(),
  }),
  ports: z.strictObject({
    entry: PORT_SCHEMA,
    gate: PORT_SCHEMA,
    peer: PORT_SCHEMA,
    operator: PORT_SCHEMA,
  }),
  platform: z.strictObject({
    url: z.string().regex(/^https?:\/\/[^/]+$/),
    timeout_ms: newIntegerSchema(10, 60_000, 1_000),
    // Rate limit on store calls, without those for claims.
    calls_per_second: newIntegerSchema(1, 10_000, 5),
    call_burst: newIntegerSchema(1, 10_000, 100),
  }),
  overlay: z
    .strictObject({
      // Links that the daemon dials within its data centre.
      links: newIntegerSchema(1, 16, 2),
      // Daemons per data centre that watch the store.
      readers_per_data_centre: newIntegerSchema(1, 10_000, 2),
      // Daemons per data centre that list their address in the store.
      seeds_per_data_centre: newIntegerSchema(1, 16, 3),
      // Peers to dial if the store lists no seeds.
      fallback_seeds: ADDRESS_LIST_SCHEMA,
      // Whether configuration changes are fetched from peers.
      learns_from_peers: BOOLEAN_SCHEMA.default(true),
      joins_per_second: newIntegerSchema(1, 10_000, 50),
    })
    .prefault({}),
  claims: z
    .strictObject({
      // Minimum lifetime of a claim on an idempotency key.
      horizon_ms: newIntegerSchema(1_000, 86_400_000, 600_000),
      max_calls_per_second: newIntegerSchema(1, 10_000, 100),
    })
    .prefault({}),
  retries: z
    .strictObject({
      // Retries that each first attempt adds to the budget.
      share: z.coerce.number().min(0).max(1).default(0.2),
      // Maximum number of retries that the budget holds.
      max_saved: newIntegerSchema(0, 10_000, 20),
    })
    .prefault({}),
  // Time without an announcement after which the target is considered gone.
  target: z
    .strictObject({silence_ms: newIntegerSchema(100, 600_000, 6_000)})
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['text', 'json']).default('text'),
    })
    .prefault({}),
});

/** All settings of a daemon. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/** Reads and validates a settings file. */
export async function readSettings(
  path: string,
  overrides: readonly SettingOverride[],
): Promise<Result<Settings, SettingsError>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    return Err({messages: [String(error)]});
  }
  return parseSettings(text, overrides);
}

/** Validates settings in INI format and reports every problem. */
export function parseSettings(
  text: string,
  overrides: readonly SettingOverride[] = [],
): Result<Settings, SettingsError> {
  const lines = [text];
  for (const {path, value} of overrides) {
    const dot = path.indexOf('.');
    if (dot < 1) return Err({messages: [`--set ${path}: needs section.name`]});
    lines.push(`[${path.slice(0, dot)}]`, `${path.slice(dot + 1)} = ${value}`);
  }
  const parsed = SETTINGS_SCHEMA.safeParse(ini.parse(lines.join('\n')));
  if (parsed.success) return Ok(parsed.data);
  const messages = parsed.error.issues.map(
    issue => `${issue.path.join('.')}: ${issue.message}`,
  );
  return Err({messages});
}
