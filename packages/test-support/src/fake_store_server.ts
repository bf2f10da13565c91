/**
 * Fake of the platform's key-value service: the calls of the etcd v3 HTTP/JSON
 * gateway that the store client uses, in memory, with fault injection.
 */

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {KeyValue} from '@cassiaknot/store';
import {
  ABSENT_REVISION,
  InMemoryStore,
  decodeBase64,
  encodeBase64,
  getStoreLease,
  getStoreRevision,
  qualifyLease,
  qualifyRevision,
} from '@cassiaknot/store';
import {z} from 'zod';
import {sleep} from './sleep.js';

/**
 * Injected fault.
 *
 * - `down`: connections are closed before a call takes effect.
 * - `lose-answers`: calls take effect, then connections are closed. Watches are
 *   answered as usual.
 * - `slow`: calls are delayed before they take effect.
 */
export type StoreFault =
  | {readonly kind: 'none'}
  | {readonly kind: 'down'}
  | {readonly kind: 'lose-answers'}
  | {readonly kind: 'slow'; readonly delayMs: number};

const KEY_SCHEMA = z.object({key: z.string()});
const RANGE_SCHEMA = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  limit: z.coerce.number().default(1_000),
});
const PUT_SCHEMA = z.object({
  key: z.string(),
  value: z.string(),
  lease: z.string().optional(),
});
const TXN_SCHEMA = z.object({
  compare: z
    .array(z.object({key: z.string(), mod_revision: z.coerce.number()}))
    .length(1),
  success: z.array(z.object({request_put: PUT_SCHEMA})).length(1),
});
const LEASE_SCHEMA = z.object({ID: z.string()});
const GRANT_SCHEMA = z.object({TTL: z.coerce.number()});
const WATCH_SCHEMA = z.object({
  create_request: z.object({
    key: z.string(),
    start_revision: z.coerce.number(),
  }),
});

const MS_PER_SECOND = 1_000;
const WATCH_TIMEOUT_MS = 3_600_000;
const NO_FAULT: StoreFault = {kind: 'none'};

/** A store server on a loopback port. */
export class FakeStoreServer {
  /** The stored data, for direct access by tests. */
  readonly memory = new InMemoryStore();
  private readonly server = createServer((request, response) => {
    void this.handle(request, response);
  });
  private fault: StoreFault = NO_FAULT;
  private callCount = 0;
  private byteCount = 0;
  private port = 0;

  async start(port = 0): Promise<void> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    this.port = (this.server.address() as AddressInfo).port;
  }

  /** Base URL for clients. */
  getUrl(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Number of calls received; a watch counts as one. */
  getCallCount(): number {
    return this.callCount;
  }

  /**
   * Total length of the bodies received and sent, in characters; the line that
   * confirms a watch and lost responses are not counted.
   */
  getByteCount(): number {
    return this.byteCount;
  }

  /** Sets the injected fault; `down` also closes all open connections. */
  setFault(fault: StoreFault): void {
    this.fault = fault;
    if (fault.kind === 'down') this.server.closeAllConnections();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    await once(this.server, 'close');
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
    const {fault} = this;
    if (fault.kind === 'down') {
      request.socket.destroy();
      return;
    }
    const text = await readText(request);
    this.byteCount += text.length;
    const body: unknown = JSON.parse(text);
    if (fault.kind === 'slow') await sleep(fault.delayMs);
    if (request.url === '/v3/watch') {
      await this.watch(body, response);
      return;
    }
    const result = await this.dispatch(request.url ?? '', body);
    if (fault.kind === 'lose-answers') {
      request.socket.destroy();
      return;
    }
    const responseText = JSON.stringify(result ?? {});
    this.byteCount += responseText.length;
    response.writeHead(result === undefined ? 404 : 200);
    response.end(responseText);
  }

  private dispatch(url: string, body: unknown): Promise<unknown> {
    switch (url) {
      case '/v3/kv/range':
        return this.range(RANGE_SCHEMA.parse(body));
      case '/v3/kv/put':
        return this.put(PUT_SCHEMA.parse(body));
      case '/v3/kv/txn':
        return this.txn(TXN_SCHEMA.parse(body));
      case '/v3/kv/deleterange':
        return this.delete(KEY_SCHEMA.parse(body).key);
      case '/v3/lease/grant':
        return this.grant(GRANT_SCHEMA.parse(body).TTL);
      case '/v3/lease/keepalive':
        return this.keepAlive(LEASE_SCHEMA.parse(body).ID);
      case '/v3/lease/revoke':
        return this.revoke(LEASE_SCHEMA.parse(body).ID);
      default:
        return Promise.resolve(undefined);
    }
  }

  private async range(request: z.infer<typeof RANGE_SCHEMA>): Promise<unknown> {
    const key = decodeBase64(request.key);
    const revision = (await this.memory.getStaleRevision()).unwrap();
    const header = {revision: String(getStoreRevision(revision))};
    if (request.range_end === undefined) {
      const found = (await this.memory.get(key)).unwrap();
      return {header, kvs: found ? [encodeKeyValue(found)] : []};
    }
    // The store client sends a range end only to list the keys with a prefix.
    const found = (await this.memory.list(key, request.limit)).unwrap();
    return {header, kvs: found.map(encodeKeyValue)};
  }

  private async put(request: z.infer<typeof PUT_SCHEMA>): Promise<unknown> {
    const {key, value, leaseId} = this.decodePut(request);
    await this.memory.put(key, value, leaseId);
    return {};
  }

  private async txn(request: z.infer<typeof TXN_SCHEMA>): Promise<unknown> {
    const [compare] = request.compare;
    const [success] = request.success;
    if (!compare || !success) return undefined;
    const swapped = await this.memory.compareAndSwap({
      ...this.decodePut(success.request_put),
      expectedRevision: this.qualify(compare.mod_revision),
    });
    const outcome = swapped.unwrap();
    if (outcome.kind === 'committed') {
      const revision = String(getStoreRevision(outcome.revision));
      return {succeeded: true, header: {revision}};
    }
    const kvs = outcome.current ? [encodeKeyValue(outcome.current)] : [];
    return {
      succeeded: false,
      header: {revision: '0'},
      responses: [{response_range: {kvs}}],
    };
  }

  private async delete(key: string): Promise<unknown> {
    await this.memory.delete(decodeBase64(key));
    return {};
  }

  private async grant(ttlSeconds: number): Promise<unknown> {
    const lease = await this.memory.grantLease(ttlSeconds * MS_PER_SECOND);
    return {ID: getStoreLease(lease.unwrap())};
  }

  private async keepAlive(id: string): Promise<unknown> {
    const leaseId = qualifyLease(this.memory.getGeneration(), id);
    const isAlive = await this.memory.keepLeaseAlive(leaseId);
    return {result: {TTL: isAlive.unwrap() ? '1' : '0'}};
  }

  private async revoke(id: string): Promise<unknown> {
    const leaseId = qualifyLease(this.memory.getGeneration(), id);
    await this.memory.revokeLease(leaseId);
    return {};
  }

  // The store knows no generations: a revision or lease id that was issued again
  // is taken for the new one.
  private qualify(revision: number): number {
    if (revision === ABSENT_REVISION) return ABSENT_REVISION;
    return qualifyRevision(this.memory.getGeneration(), revision);
  }

  private decodePut(put: z.infer<typeof PUT_SCHEMA>) {
    const {lease} = put;
    const generation = this.memory.getGeneration();
    return {
      key: decodeBase64(put.key),
      value: decodeBase64(put.value),
      ...(lease === undefined
        ? {}
        : {leaseId: qualifyLease(generation, lease)}),
    };
  }

  /** Sends the next change of the key, then ends the response. */
  private async watch(body: unknown, response: ServerResponse): Promise<void> {
    const {create_request: create} = WATCH_SCHEMA.parse(body);
    const controller = new AbortController();
    response.once('close', () => controller.abort());
    response.writeHead(200);
    response.write('{"result":{"created":true}}\n');
    const change = await this.memory.waitForChange({
      key: decodeBase64(create.key),
      afterRevision: this.qualify(create.start_revision - 1),
      timeoutMs: WATCH_TIMEOUT_MS,
      signal: controller.signal,
    });
    // The store has come back from a copy: the watch ends without an event.
    if (change.isErr()) {
      response.destroy();
      return;
    }
    const found = change.value;
    if (!found || response.destroyed) return;
    const events = [{type: 'PUT', kv: encodeKeyValue(found)}];
    const line = `${JSON.stringify({result: {events}})}\n`;
    this.byteCount += line.length;
    response.end(line);
  }
}

function encodeKeyValue(entry: KeyValue) {
  return {
    key: encodeBase64(entry.key),
    value: encodeBase64(entry.value),
    mod_revision: String(getStoreRevision(entry.revision)),
  };
}

async function readText(request: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of request as AsyncIterable<Buffer>) {
    text += chunk.toString('utf8');
  }
  return text;
}
