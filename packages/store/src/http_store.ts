/**
 * Client of the platform's key-value service over the etcd v3 HTTP/JSON
 * gateway.
 */

import {createInterface} from 'node:readline';
import {newCheckedAgent} from '@cassiaknot/http-client';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {Agent} from 'undici';
import {request} from 'undici';
import type {z} from 'zod';
import {
  ETCD_ANY_SCHEMA,
  ETCD_KEEP_ALIVE_SCHEMA,
  ETCD_LEASE_SCHEMA,
  ETCD_RANGE_SCHEMA,
  ETCD_TXN_SCHEMA,
  ETCD_WATCH_SCHEMA,
  decodeBase64,
  encodeBase64,
  getRangeEnd,
} from './etcd_messages.js';
import type {CallKind} from './call_errors.js';
import {callFailed, toStoreError} from './call_errors.js';
import type {ETCD_KEY_VALUE_SCHEMA} from './etcd_messages.js';
import type {
  CasOutcome,
  CasRequest,
  KeyValue,
  KeyValueStore,
  LeaseId,
  ReadOptions,
  StoreError,
  StoreResult,
  WatchRequest,
} from './types.js';
import {brandId} from '@cassiaknot/inventory';

/** Address of the store and timeout of its calls. */
export interface HttpStoreOptions {
  /** Base URL, without a trailing slash. */
  readonly url: string;
  readonly timeoutMs: number;
}

const MS_PER_SECOND = 1_000;
const MAX_CONNECTIONS = 8;
/** Key that does not exist, so that a read of the store revision is small. */
const ABSENT_KEY = 'cassiaknot/none';

/** Key-value store client over HTTP. */
export class HttpStore implements KeyValueStore {
  private readonly agent: Agent;

  constructor(private readonly options: HttpStoreOptions) {
    this.agent = newCheckedAgent({
      connections: MAX_CONNECTIONS,
      connect: {timeout: options.timeoutMs},
      pipelining: 1,
    });
  }

  async get(
    key: string,
    options: ReadOptions = {},
  ): StoreResult<KeyValue | undefined> {
    const body = {key: encodeBase64(key), ...toConsistencyField(options)};
    const response = await this.call(
      'read',
      'kv/range',
      body,
      ETCD_RANGE_SCHEMA,
    );
    return response.map(range => toKeyValues(range.kvs)[0]);
  }

  async list(
    prefix: string,
    limit: number,
    options: ReadOptions = {},
  ): StoreResult<readonly KeyValue[]> {
    const body = {
      key: encodeBase64(prefix),
      range_end: getRangeEnd(prefix),
      limit: String(limit),
      ...toConsistencyField(options),
    };
    const response = await this.call(
      'read',
      'kv/range',
      body,
      ETCD_RANGE_SCHEMA,
    );
    return response.map(range => toKeyValues(range.kvs));
  }

  async getStaleRevision(): StoreResult<number> {
    const body = {
      key: encodeBase64(ABSENT_KEY),
      ...toConsistencyField({mayBeStale: true}),
    };
    const response = await this.call(
      'read',
      'kv/range',
      body,
      ETCD_RANGE_SCHEMA,
    );
    return response.map(range => range.header?.revision ?? 0);
  }

  async compareAndSwap(cas: CasRequest): StoreResult<CasOutcome> {
    const key = encodeBase64(cas.key);
    const put = {
      key,
      value: encodeBase64(cas.value),
      ...(cas.leaseId === undefined ? {} : {lease: cas.leaseId}),
    };
    const body = {
      compare: [
        {
          key,
          target: 'MOD',
          result: 'EQUAL',
          mod_revision: String(cas.expectedRevision),
        },
      ],
      success: [{request_put: put}],
      failure: [{request_range: {key}}],
    };
    const response = await this.call('write', 'kv/txn', body, ETCD_TXN_SCHEMA);
    return response.map(toCasOutcome);
  }

  async put(key: string, value: string, leaseId?: LeaseId): StoreResult<void> {
    const body = {
      key: encodeBase64(key),
      value: encodeBase64(value),
      ...(leaseId === undefined ? {} : {lease: leaseId}),
    };
    const response = await this.call('write', 'kv/put', body, ETCD_ANY_SCHEMA);
    return response.map(() => undefined);
  }

  async delete(key: string): StoreResult<void> {
    const body = {key: encodeBase64(key)};
    const path = 'kv/deleterange';
    const response = await this.call('write', path, body, ETCD_ANY_SCHEMA);
    return response.map(() => undefined);
  }

  async grantLease(ttlMs: number): StoreResult<LeaseId> {
    const ttlSeconds = Math.ceil(ttlMs / MS_PER_SECOND);
    const body = {TTL: String(ttlSeconds)};
    const path = 'lease/grant';
    const response = await this.call('write', path, body, ETCD_LEASE_SCHEMA);
    return response.map(lease => brandId<LeaseId>(lease.ID));
  }

  async keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean> {
    const body = {ID: leaseId};
    const path = 'lease/keepalive';
    const response = await this.call(
      'write',
      path,
      body,
      ETCD_KEEP_ALIVE_SCHEMA,
    );
    return response.map(lease => lease.result.TTL > 0);
  }

  async revokeLease(leaseId: LeaseId): StoreResult<void> {
    const body = {ID: leaseId};
    const path = 'lease/revoke';
    const response = await this.call('write', path, body, ETCD_ANY_SCHEMA);
    return response.map(() => undefined);
  }

  // This protocol does not show that the store has come back from a copy.
  onRestored(): void {}

  async waitForChange(watch: WatchRequest): StoreResult<KeyValue | undefined> {
    const timeoutSignal = AbortSignal.timeout(watch.timeoutMs);
    const signal = watch.signal
      ? AbortSignal.any([watch.signal, timeoutSignal])
      : timeoutSignal;
    try {
      return await this.readWatchStream(watch, signal);
    } catch (error) {
      if (signal.aborted) return Ok(undefined);
      return Err(toStoreError('read', error));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async readWatchStream(
    watch: WatchRequest,
    signal: AbortSignal,
  ): Promise<Result<KeyValue | undefined, StoreError>> {
    const createRequest = {
      key: encodeBase64(watch.key),
      start_revision: String(watch.afterRevision + 1),
    };
    const response = await request(`${this.options.url}/v3/watch`, {
      method: 'POST',
      body: JSON.stringify({create_request: createRequest}),
      dispatcher: this.agent,
      signal,
      bodyTimeout: 0,
      headersTimeout: this.options.timeoutMs,
    });
    const lines = createInterface({input: response.body});
    for await (const line of lines) {
      const message = ETCD_WATCH_SCHEMA.safeParse(JSON.parse(line));
      if (!message.success) return Err(rejected('malformed watch message'));
      if (message.data.result.canceled) return Err(rejected('watch cancelled'));
      const change = toKeyValues(
        message.data.result.events
          .filter(event => event.type !== 'DELETE')
          .map(event => event.kv),
      ).at(-1);
      if (change) return Ok(change);
    }
    return Err({
      kind: 'unavailable',
      message: 'watch stream closed by the store without an event',
    });
  }

  private async call<T>(
    kind: CallKind,
    path: string,
    body: object,
    schema: z.ZodType<T>,
  ): Promise<Result<T, StoreError>> {
    try {
      const response = await request(`${this.options.url}/v3/${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        dispatcher: this.agent,
        signal: AbortSignal.timeout(this.options.timeoutMs),
      });
      const text = await response.body.text();
      return this.parseResponse(kind, response.statusCode, text, schema);
    } catch (error) {
      return Err(toStoreError(kind, error));
    }
  }

  private parseResponse<T>(
    kind: CallKind,
    statusCode: number,
    text: string,
    schema: z.ZodType<T>,
  ): Result<T, StoreError> {
    if (statusCode >= 500) return Err(callFailed(kind, `HTTP ${statusCode}`));
    if (statusCode >= 400) return Err(rejected(`HTTP ${statusCode}`));
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) return Err(callFailed(kind, 'invalid store response'));
    return Ok(parsed.data);
  }
}

function toKeyValues(
  kvs: ReadonlyArray<z.infer<typeof ETCD_KEY_VALUE_SCHEMA>>,
): KeyValue[] {
  return kvs.map(kv => ({
    key: decodeBase64(kv.key),
    value: decodeBase64(kv.value),
    revision: kv.mod_revision,
  }));
}

function toCasOutcome(txn: z.infer<typeof ETCD_TXN_SCHEMA>): CasOutcome {
  if (txn.succeeded) {
    return {kind: 'committed', revision: txn.header.revision};
  }
  const kvs = txn.responses[0]?.response_range?.kvs ?? [];
  return {kind: 'conflict', current: toKeyValues(kvs)[0]};
}

function rejected(message: string): StoreError {
  return {kind: 'rejected', message};
}

// A serializable read of etcd may return an older state of the store.
function toConsistencyField(options: ReadOptions): {serializable?: true} {
  return options.mayBeStale === true ? {serializable: true} : {};
}
