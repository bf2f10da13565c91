/** Callers of targets, as the request paths have them, for tests of responses. */

import {
  Deadline,
  HttpTargetClient as ProxyTargetClient,
} from '@cassiaknot/proxy';
import {HttpTargetClient as RelayTargetClient} from '@cassiaknot/relay';

const TIMEOUT_MS = 5_000;
const EMPTY_BODY = Buffer.alloc(0);

/** Method of a request. */
export type Method = 'GET' | 'HEAD' | 'POST';

/** Sends one request and returns the kind of its outcome. */
export interface Caller {
  send(method: Method, body?: Buffer): Promise<string>;
  /** Sends one request; returns the kind of its outcome with the reason or status. */
  describe(method: Method, body?: Buffer): Promise<string>;
  close(): Promise<void>;
}

/** Creates a caller of a target at an address. */
export type NewCaller = (address: string) => Caller;

function newCallerOfRelay(
  address: string,
  usesFreshConnection: boolean,
): Caller {
  const client = new RelayTargetClient(address, 1);
  const exchange = (method: Method, body: Buffer) =>
    client.send({
      method,
      path: '/',
      headers: ['Host', 'h'],
      body,
      signal: AbortSignal.timeout(TIMEOUT_MS),
      usesFreshConnection,
      classify: () => ({kind: 'answer'}),
    });
  return {
    async send(method, body = EMPTY_BODY) {
      return (await exchange(method, body)).kind;
    },
    async describe(method, body = EMPTY_BODY) {
      const result = await exchange(method, body);
      switch (result.kind) {
        case 'response':
          return `answered ${result.statusCode}`;
        case 'unconnected':
          return 'not-run';
        case 'lost':
          return `lost ${result.reason}`;
      }
    },
    close: () => client.close(),
  };
}

/** Sends requests as the proxy does. */
export function newProxyCaller(address: string): Caller {
  const origin = `http://${address}`;
  const client = new ProxyTargetClient({origin, connections: 1});
  const exchange = async (method: Method, body: Buffer) => {
    const deadline = new Deadline(TIMEOUT_MS);
    const outcome = await client.send({
      method,
      path: '/',
      headers: ['Host', 'h'],
      body,
      refusalStatuses: [],
      deadline,
    });
    deadline.dispose();
    return outcome;
  };
  return {
    async send(method, body = EMPTY_BODY) {
      return (await exchange(method, body)).kind;
    },
    async describe(method, body = EMPTY_BODY) {
      const outcome = await exchange(method, body);
      switch (outcome.kind) {
        case 'answered':
          return `answered ${outcome.response.statusCode}`;
        case 'not-run':
          return 'not-run';
        case 'unknown':
          return `lost ${outcome.reason}`;
      }
    },
    close: () => client.close(),
  };
}

/** Sends requests as the relay does. */
export function newRelayCaller(address: string): Caller {
  return newCallerOfRelay(address, false);
}

/** Sends each request on a new connection, as the relay does with some. */
export function newFreshRelayCaller(address: string): Caller {
  return newCallerOfRelay(address, true);
}
