/**
 * Stand-in for the platform's metadata store, as described in PROTOCOL.md: items
 * with revisions, ranges, watches, transactions and leases, in memory.
 */

import {once} from 'node:events';
import {createServer} from 'node:http';

/** `HistoryS` of the small deployments; the history is kept whole here. */
const MIN_TTL_MS = 1_000;
const MAX_TTL_MS = 600_000;
const MAX_WATCH_MS = 30_000;
const MAX_RANGE_ITEMS = 500;

export class Store {
  constructor() {
    this.revision = 1;
    this.items = new Map();
    this.history = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.waiters = new Set();
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  async listen(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    const {port} = this.server.address();
    this.address = `${host}:${port}`;
  }

  close() {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes an item as the operator does; the return is the acknowledgement. */
  putText(key, text) {
    return this.put(key, Buffer.from(text).toString('base64'), 0);
  }

  put(key, value, lease) {
    this.revision += 1;
    const made = this.items.get(key)?.CreateRev ?? this.revision;
    const item = {
      Key: key,
      Value: value,
      Revision: this.revision,
      CreateRev: made,
      Lease: lease,
    };
    this.items.set(key, item);
    this.record(item);
    return this.revision;
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.record({Key: key, Revision: this.revision, Removed: true});
  }

  record(event) {
    this.history.push(event);
    for (const wake of [...this.waiters]) wake();
  }

  async serve(request, response) {
    let text = '';
    request.setEncoding('utf8');
    for await (const part of request) text += part;
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const body = text === '' ? {} : JSON.parse(text);
    const reply = (status, value) => {
      if (response.destroyed) return;
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(value ?? {}));
    };
    const {pathname} = url;
    if (pathname === '/api/kv-key') {
      const item = this.items.get(query.get('Key'));
      if (item) reply(200, {...item, CurrentRev: this.revision});
      else reply(404, {CurrentRev: this.revision});
    } else if (pathname === '/api/kv-range') {
      this.serveRange(query, reply);
    } else if (pathname === '/api/kv-watch') {
      this.serveWatch(query, response, reply);
    } else if (pathname === '/api/kv-txn') {
      this.serveTransaction(body, reply);
    } else if (pathname === '/api/kv-lease') {
      this.grantLease(body, reply);
    } else if (pathname.startsWith('/api/kv-keep/')) {
      this.renewLease(Number(pathname.split('/').at(-1)), reply);
    } else if (pathname.startsWith('/api/kv-lease-end/')) {
      this.endLease(Number(pathname.split('/').at(-1)));
      reply(200);
    } else {
      reply(404);
    }
  }

  serveRange(query, reply) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys
      .slice(0, MAX_RANGE_ITEMS)
      .map(key => this.items.get(key));
    const Truncated = keys.length > items.length;
    reply(200, {items, Truncated, CurrentRev: this.revision});
  }

  serveWatch(query, response, reply) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Math.min(MAX_WATCH_MS, Number(query.get('WaitMs')));
    const finish = events => {
      clearTimeout(timer);
      this.waiters.delete(check);
      reply(200, {events, CurrentRev: this.revision});
    };
    const check = () => {
      const events = this.history.filter(
        ({Key, Revision}) => Revision > after && Key.startsWith(prefix),
      );
      if (events.length > 0) finish(events);
    };
    const timer = setTimeout(() => finish([]), waitMs);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiters.delete(check);
    });
    this.waiters.add(check);
    check();
  }

  serveTransaction(body, reply) {
    const {IfRevision = [], Puts = [], Remove = []} = body;
    const holds = IfRevision.every(
      ({Key, Revision}) => (this.items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!holds) {
      const items = IfRevision.map(({Key}) => this.items.get(Key));
      reply(412, {items: items.filter(Boolean)});
      return;
    }
    const isForbidden = key => /^(op|servers)\//.test(key);
    if (Puts.some(({Key}) => isForbidden(Key)) || Remove.some(isForbidden)) {
      reply(403);
      return;
    }
    const isUnknown = ({Lease = 0}) => Lease !== 0 && !this.leases.has(Lease);
    if (Puts.some(isUnknown)) {
      reply(404);
      return;
    }
    for (const {Key, Value, Lease = 0} of Puts) {
      this.put(Key, Value, Lease);
      this.leases.get(Lease)?.keys.add(Key);
    }
    for (const key of Remove) this.remove(key);
    reply(200, {Revision: this.revision});
  }

  grantLease({TtlMs}, reply) {
    const ttlMs = Math.min(MAX_TTL_MS, Math.max(MIN_TTL_MS, TtlMs));
    const lease = this.nextLease;
    this.nextLease += 1;
    const timer = setTimeout(() => this.endLease(lease), ttlMs);
    this.leases.set(lease, {ttlMs, keys: new Set(), timer});
    reply(200, {Lease: lease, TtlMs: ttlMs});
  }

  renewLease(lease, reply) {
    const held = this.leases.get(lease);
    if (!held) {
      reply(404);
      return;
    }
    held.timer.refresh();
    reply(200, {TtlMs: held.ttlMs});
  }

  endLease(lease) {
    const held = this.leases.get(lease);
    if (!held) return;
    clearTimeout(held.timer);
    this.leases.delete(lease);
    for (const key of held.keys) this.remove(key);
  }
}
