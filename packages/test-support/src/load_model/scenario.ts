/** Parses scenarios of the load model from INI. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import * as ini from 'ini';
import {z} from 'zod';
import type {
  LoadBurst,
  LoadWave,
  DownstreamCall,
  RequestKind,
  LoadScenario,
  PaceSpec,
  TargetSpec,
} from './types.js';

const WORD_LIST_SCHEMA = z.string().transform(text => text.split(/\s+/));
const NON_NEGATIVE_SCHEMA = z.coerce.number().min(0);

const SCENARIO_SCHEMA = z.strictObject({
  play: z.strictObject({
    length_ms: NON_NEGATIVE_SCHEMA,
    one_way_ms: NON_NEGATIVE_SCHEMA,
    // Comma-separated `from until factor`, with times in milliseconds.
    bursts: z.string().default(''),
    // Demand of each data centre follows a sine with this period and amplitude.
    wave_period_ms: NON_NEGATIVE_SCHEMA.default(0),
    wave_share: NON_NEGATIVE_SCHEMA.max(1).default(0),
  }),
  service: z.record(
    z.string(),
    z.strictObject({
      slots: z.coerce.number().int().min(1),
      // Data centre of each target.
      data_centres: WORD_LIST_SCHEMA,
      // Multiplier on the run times of each target; above 1 is slower, 1 if absent.
      speeds: WORD_LIST_SCHEMA,
      // Standard deviation of the logarithm of the pace, and the mean time
      // between its changes; targets report a pace only if both are given.
      pace_log_sigma: NON_NEGATIVE_SCHEMA.default(0),
      pace_interval_ms: NON_NEGATIVE_SCHEMA.default(0),
      // Each run above the knee slows all down by a share.
      knee: NON_NEGATIVE_SCHEMA.default(Infinity),
      slowdown_per_run: NON_NEGATIVE_SCHEMA.default(0),
    }),
  ),
  kind: z.record(
    z.string(),
    z.strictObject({
      service: z.string(),
      per_second: NON_NEGATIVE_SCHEMA,
      urgency: z.coerce.number().int().min(0),
      work_ms: NON_NEGATIVE_SCHEMA,
      objective_ms: NON_NEGATIVE_SCHEMA,
      deadline_ms: NON_NEGATIVE_SCHEMA,
      is_idempotent: z.union([z.boolean(), z.stringbool()]).default(true),
      // Comma-separated `kind probability`.
      calls: z.string().default(''),
    }),
  ),
});

type ScenarioSettings = z.infer<typeof SCENARIO_SCHEMA>;

/** Parses a scenario; throws if the text does not match the schema. */
export function parseScenario(text: string): LoadScenario {
  const fields = SCENARIO_SCHEMA.parse(ini.parse(text));
  return {
    lengthMs: fields.play.length_ms,
    oneWayDelayMs: fields.play.one_way_ms,
    bursts: parseTuples(fields.play.bursts).map(toLoadBurst),
    wave: toLoadWave(fields.play),
    targets: toTargets(fields.service),
    kinds: Object.entries(fields.kind).map(([name, kind]) =>
      toRequestKind(name, kind),
    ),
  };
}

function parseTuples(text: string): string[][] {
  const items = text.split(',').map(item => item.trim());
  return items.filter(item => item !== '').map(item => item.split(/\s+/));
}

function toLoadBurst([from, until, factor]: string[]): LoadBurst {
  return {
    fromMs: Number(from),
    untilMs: Number(until),
    factor: Number(factor),
  };
}

function toLoadWave({
  wave_period_ms: periodMs,
  wave_share: share,
}: ScenarioSettings['play']): LoadWave | undefined {
  return periodMs > 0 ? {periodMs, share} : undefined;
}

function toPaceSpec(
  service: ScenarioSettings['service'][string],
): PaceSpec | undefined {
  const {pace_log_sigma: logSigma, pace_interval_ms: meanIntervalMs} = service;
  return meanIntervalMs > 0 ? {logSigma, meanIntervalMs} : undefined;
}

function toDownstreamCall([
  kindName = '',
  probability,
]: string[]): DownstreamCall {
  return {kindName, probability: Number(probability)};
}

function toRequestKind(
  name: string,
  fields: ScenarioSettings['kind'][string],
): RequestKind {
  return {
    name,
    serviceId: brandId<ServiceId>(fields.service),
    perSecond: fields.per_second,
    urgency: fields.urgency,
    meanWorkMs: fields.work_ms,
    objectiveMs: fields.objective_ms,
    deadlineMs: fields.deadline_ms,
    isIdempotent: fields.is_idempotent,
    calls: parseTuples(fields.calls).map(toDownstreamCall),
  };
}

function toTargets(services: ScenarioSettings['service']): TargetSpec[] {
  const targets: TargetSpec[] = [];
  for (const [serviceName, service] of Object.entries(services)) {
    for (const [index, dataCentre] of service.data_centres.entries()) {
      targets.push({
        instanceId: brandId<InstanceId>(`${serviceName}-${index}`),
        dataCentreId: brandId<DataCentreId>(dataCentre),
        serviceId: brandId<ServiceId>(serviceName),
        slots: service.slots,
        slowdownFactor: Number(service.speeds[index] ?? 1),
        pace: toPaceSpec(service),
        knee: service.knee,
        slowdownPerRun: service.slowdown_per_run,
      });
    }
  }
  return targets;
}
