/** Scenarios of the load model, written in INI. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import * as ini from 'ini';
import {z} from 'zod';
import type {
  ModelBurst,
  ModelCall,
  ModelKind,
  ModelScenario,
  ModelTarget,
} from './types.js';

const LIST = z.string().transform(text => text.split(/\s+/));
const AMOUNT = z.coerce.number().min(0);

const SCENARIO_SCHEMA = z.strictObject({
  play: z.strictObject({
    length_ms: AMOUNT,
    one_way_ms: AMOUNT,
    // `from until factor`, in milliseconds, separated by commas.
    bursts: z.string().default(''),
  }),
  service: z.record(
    z.string(),
    z.strictObject({
      slots: z.coerce.number().int().min(1),
      // Data centre of each target, and the factor on its work.
      data_centres: LIST,
      speeds: LIST,
    }),
  ),
  kind: z.record(
    z.string(),
    z.strictObject({
      service: z.string(),
      per_second: AMOUNT,
      urgency: z.coerce.number().int().min(0),
      work_ms: AMOUNT,
      objective_ms: AMOUNT,
      deadline_ms: AMOUNT,
      is_idempotent: z.union([z.boolean(), z.stringbool()]).default(true),
      // `kind share`, separated by commas.
      calls: z.string().default(''),
    }),
  ),
});

type ScenarioFields = z.infer<typeof SCENARIO_SCHEMA>;

/** Reads a scenario; throws where it can't be used. */
export function parseScenario(text: string): ModelScenario {
  const fields = SCENARIO_SCHEMA.parse(ini.parse(text));
  return {
    lengthMs: fields.play.length_ms,
    oneWayMs: fields.play.one_way_ms,
    bursts: splitTuples(fields.play.bursts).map(toBurst),
    targets: listTargets(fields.service),
    kinds: Object.entries(fields.kind).map(([name, kind]) =>
      toKind(name, kind),
    ),
  };
}

function splitTuples(text: string): string[][] {
  const items = text.split(',').map(item => item.trim());
  return items.filter(item => item !== '').map(item => item.split(/\s+/));
}

function toBurst([from, until, factor]: string[]): ModelBurst {
  return {
    fromMs: Number(from),
    untilMs: Number(until),
    factor: Number(factor),
  };
}

function toCall([kindName = '', share]: string[]): ModelCall {
  return {kindName, share: Number(share)};
}

function toKind(
  name: string,
  fields: ScenarioFields['kind'][string],
): ModelKind {
  return {
    name,
    serviceId: brandId<ServiceId>(fields.service),
    perSecond: fields.per_second,
    urgency: fields.urgency,
    workMs: fields.work_ms,
    objectiveMs: fields.objective_ms,
    deadlineMs: fields.deadline_ms,
    isIdempotent: fields.is_idempotent,
    calls: splitTuples(fields.calls).map(toCall),
  };
}

function listTargets(services: ScenarioFields['service']): ModelTarget[] {
  const targets: ModelTarget[] = [];
  for (const [serviceName, service] of Object.entries(services)) {
    for (const [index, dataCentre] of service.data_centres.entries()) {
      targets.push({
        instanceId: brandId<InstanceId>(`${serviceName}-${index}`),
        dataCentreId: brandId<DataCentreId>(dataCentre),
        serviceId: brandId<ServiceId>(serviceName),
        slots: service.slots,
        speedFactor: Number(service.speeds[index] ?? 1),
      });
    }
  }
  return targets;
}
