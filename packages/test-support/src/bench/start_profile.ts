/** Samples the processor time of this process and divides it into parts. */

import type {Profiler} from 'node:inspector';
import {Session} from 'node:inspector';

/** Time that was spent in one part of the program. */
export interface SampledPart {
  readonly part: string;
  readonly sampledMs: number;
}

type Frame = Profiler.ProfileNode['callFrame'];

const SAMPLING_INTERVAL_US = 500;
const MICROSECONDS_PER_MS = 1_000;
const GARBAGE_COLLECTION = 'garbage collection';
/** Part of frames below no other one: the event loop and the inside of Node.js. */
export const OTHER_PART = 'event loop, sockets, other';
/** Names of frames outside of the program. */
const ROOT_PARTS: ReadonlyMap<string, string> = new Map([
  ['(garbage collector)', GARBAGE_COLLECTION],
  ['(idle)', ''],
  ['(program)', OTHER_PART],
]);
/**
 * Parts by the frames that begin them; the innermost frame decides. The order
 * matters where two patterns match.
 */
const PARTS: ReadonlyArray<readonly [RegExp, string]> = [
  [/inventory\/|config_replica|configuration_|replica_actor/, 'configuration'],
  [/coordination\/|web_socket_transport/, 'membership'],
  [/decision_log|winston/, 'log'],
  [/caller_|routed_request|relay\/dist\/entry\.js|target_/, 'requests'],
  [/gate_directory|gate_link|websocket\.js#initAsClient/, 'links out'],
  [/_http_client|client_request/, 'links out'],
  [/websocket-server|relay\/dist\/gate\.js|entry_connection/, 'links in'],
  [/_http_server/, 'links in'],
  [/store\/dist|undici/, 'store'],
  [/prom-client|meter/, 'metrics'],
  [/internal\/modules|node:internal\/vm|node:vm/, 'load'],
];

/** A sampling profile of this process. */
export class StartProfile {
  private readonly session = new Session();

  start(): void {
    this.session.connect();
    this.session.post('Profiler.enable');
    this.session.post('Profiler.setSamplingInterval', {
      interval: SAMPLING_INTERVAL_US,
    });
    this.session.post('Profiler.start');
  }

  /** Stops and returns the sampled time of each part, without idle time. */
  stop(): Promise<SampledPart[]> {
    return new Promise((resolve, reject) => {
      this.session.post('Profiler.stop', (error, {profile}) => {
        if (error) reject(error);
        else resolve(divide(profile));
      });
    });
  }
}

function divide(profile: Profiler.Profile): SampledPart[] {
  const nodes = new Map(profile.nodes.map(node => [node.id, node]));
  const partById = new Map<number, string>();
  const pending: Array<readonly [number, string]> = [];
  const [root] = profile.nodes;
  if (root) pending.push([root.id, OTHER_PART]);
  for (const [id, outerPart] of pending) {
    const node = nodes.get(id);
    if (!node) continue;
    const part = findPart(node.callFrame) ?? outerPart;
    partById.set(id, part);
    for (const child of node.children ?? []) pending.push([child, part]);
  }
  const totals = new Map<string, number>();
  const {samples = [], timeDeltas = []} = profile;
  for (const [index, id] of samples.entries()) {
    const part = partById.get(id) ?? OTHER_PART;
    const deltaMs = (timeDeltas[index + 1] ?? 0) / MICROSECONDS_PER_MS;
    totals.set(part, (totals.get(part) ?? 0) + deltaMs);
  }
  totals.delete('');
  return [...totals].map(([part, sampledMs]) => ({part, sampledMs}));
}

function findPart(frame: Frame): string | undefined {
  const {functionName, url} = frame;
  const rootPart = ROOT_PARTS.get(functionName);
  if (rootPart !== undefined) return rootPart;
  const name = `${url}#${functionName}`;
  return PARTS.find(([pattern]) => pattern.test(name))?.[1];
}
