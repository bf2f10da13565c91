/**
 * INI format of an inventory: one section per record with the heading
 * `[kind.id]`, for example `[service.catalogue]`.
 */

import * as ini from 'ini';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {RecordKey} from './ids.js';
import type {InventoryRecord, RecordKind} from './records.js';
import {RECORD_SCHEMA, getRecordKey} from './records.js';
import {indexRecords} from './state.js';

/** Why a section could not be parsed. */
export interface InventoryParseError {
  /** Heading of the section, or its first part if that is no record kind. */
  readonly section: string;
  readonly message: string;
}

const RECORD_KINDS: readonly RecordKind[] = [
  'data-centre',
  'owner',
  'service',
  'rule',
  'caller-limits',
  'workspace',
];

/** Record field for each setting; other settings are named as their field. */
const FIELD_BY_SETTING: Readonly<Record<string, string>> = {
  owner: 'ownerId',
  data_centres: 'dataCentreIds',
  timeout_ms: 'timeoutMs',
  queue_limit: 'queueLimit',
  shed_statuses: 'shedStatuses',
  service: 'serviceId',
  path_prefix: 'pathPrefix',
  health_path: 'healthPath',
  key_digests: 'keyDigests',
  max_connections: 'maxConnections',
  latency_objective_ms: 'latencyObjectiveMs',
  max_attempts: 'maxAttempts',
  rate_per_second: 'ratePerSecond',
  max_header_bytes: 'maxHeaderBytes',
  max_body_bytes: 'maxBodyBytes',
  header_timeout_ms: 'headerTimeoutMs',
  idle_timeout_ms: 'idleTimeoutMs',
};
const LIST_FIELDS: ReadonlySet<string> = new Set([
  'dataCentreIds',
  'shedStatuses',
  'keyDigests',
]);
const NUMBER_FIELDS: ReadonlySet<string> = new Set([
  'timeoutMs',
  'queueLimit',
  'shedStatuses',
  'priority',
  'maxConnections',
  'latencyObjectiveMs',
  'maxAttempts',
  'ratePerSecond',
  'burst',
  'urgency',
  'maxHeaderBytes',
  'maxBodyBytes',
  'headerTimeoutMs',
  'idleTimeoutMs',
]);

/**
 * Parses an inventory; reports the errors of all sections. A section without
 * settings is skipped.
 */
export function parseInventory(
  text: string,
): Result<ReadonlyMap<RecordKey, InventoryRecord>, InventoryParseError[]> {
  const records: InventoryRecord[] = [];
  const errors: InventoryParseError[] = [];
  for (const [kind, sections] of Object.entries(ini.parse(text))) {
    if (!isRecordKind(kind)) {
      errors.push({
        section: kind,
        message: `unknown record kind; expected ${RECORD_KINDS.join(', ')}`,
      });
      continue;
    }
    for (const section of flattenSections(sections, '')) {
      const parsed = parseSection(kind, section);
      if (parsed.isOk()) records.push(parsed.value);
      else errors.push(parsed.error);
    }
  }
  if (errors.length > 0) return Err(errors);
  return Ok(indexRecords(records));
}

/**
 * Formats records as INI text that {@link parseInventory} can read, except for
 * rules with `split`, `isIdempotent` or `isPublic`, which the format cannot express.
 */
export function formatInventory(
  records: ReadonlyMap<RecordKey, InventoryRecord>,
): string {
  const sections: string[] = [];
  for (const key of [...records.keys()].sort()) {
    const record = records.get(key);
    if (record) sections.push(formatRecord(record));
  }
  return sections.join('\n');
}

interface Section {
  readonly id: string;
  readonly fields: ReadonlyArray<readonly [string, string]>;
}

// The ini library splits headings at every dot, even at a dot within an id.
function flattenSections(node: unknown, id: string): Section[] {
  if (node === null || typeof node !== 'object') return [];
  const fields: Array<readonly [string, string]> = [];
  const sections: Section[] = [];
  for (const [name, value] of Object.entries(node)) {
    if (value !== null && typeof value === 'object') {
      sections.push(...flattenSections(value, id ? `${id}.${name}` : name));
      continue;
    }
    fields.push([name, String(value)]);
  }
  if (fields.length > 0) sections.push({id, fields});
  return sections;
}

function parseSection(
  kind: RecordKind,
  section: Section,
): Result<InventoryRecord, InventoryParseError> {
  const heading = `${kind}.${section.id}`;
  const record: Record<string, unknown> = {kind, id: section.id};
  for (const [name, text] of section.fields) {
    const field = FIELD_BY_SETTING[name] ?? name;
    record[field] = parseField(field, text);
  }
  const parsed = RECORD_SCHEMA.safeParse(record);
  if (parsed.success) return Ok(parsed.data);
  const message = parsed.error.issues
    .map(issue => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return Err({section: heading, message});
}

function parseField(field: string, text: string): unknown {
  if (!LIST_FIELDS.has(field)) return parseScalar(field, text);
  return text
    .split(',')
    .map(item => item.trim())
    .filter(item => item !== '')
    .map(item => parseScalar(field, item));
}

function parseScalar(field: string, text: string): unknown {
  return NUMBER_FIELDS.has(field) ? Number(text) : text;
}

function formatRecord(record: InventoryRecord): string {
  const lines = [`[${getRecordKey(record).replace('/', '.')}]`];
  for (const [field, value] of Object.entries(record)) {
    if (field === 'kind' || field === 'id' || value === undefined) continue;
    const text = Array.isArray(value) ? value.join(', ') : String(value);
    lines.push(`${toSettingName(field)} = ${text}`);
  }
  return `${lines.join('\n')}\n`;
}

function toSettingName(field: string): string {
  for (const [name, target] of Object.entries(FIELD_BY_SETTING)) {
    if (target === field) return name;
  }
  return field;
}

function isRecordKind(value: string): value is RecordKind {
  return RECORD_KINDS.some(kind => kind === value);
}
