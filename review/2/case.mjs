/** Idle connections to the store go silent, then the operator moves a route. */

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {sendOnce} from '../lib/client.mjs';
import {
  HAS_TROUBLE,
  formatConfiguration,
  runCase,
  sleep,
} from '../lib/deployment.mjs';
import {WorkLog} from '../lib/lost.mjs';
import {SilentPath} from '../lib/silent_path.mjs';

const OLD_SERVICE = 'catalogue';
const NEW_SERVICE = 'ledger';
const DEADLINE_MS = 1_000;
/** Time for the processes to take their roles. */
const ROLES_MS = 8_000;
/** Connections without a byte for this long go silent. */
const IDLE_MS = 2_000;
/** DEPLOY.md, Terms.Bounds: `ContactMs`, `ConfigApplyMs`. */
const CONTACT_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const SLACK_MS = 1_000;
const ASK_INTERVAL_MS = 500;
const ASK_FOR_MS = 15_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async review => {
  const route = {
    name: 'lookup',
    type: 'safe',
    timeoutMs: DEADLINE_MS,
    objectiveMs: 400,
  };
  // A second route keeps both services in both versions.
  const format = (version, service, other) =>
    formatConfiguration(version, [
      {...route, service},
      {...route, name: 'other', service: other},
    ]);
  await review.startMachines(
    [OLD_SERVICE, NEW_SERVICE, OLD_SERVICE, NEW_SERVICE],
    format(7, OLD_SERVICE, NEW_SERVICE),
    options => new SilentPath(options),
  );
  const workLog = new WorkLog(review);
  await review.startEndpoints((...run) => workLog.run(...run));
  const {machines, path, store} = review;
  await sleep(ROLES_MS);
  if (HAS_TROUBLE) {
    const openCount = path.countOpen();
    const count = path.silenceIdle(IDLE_MS);
    review.write(`${count} of ${openCount} connections to the store go silent`);
  }
  await sleep(CONTACT_MS + SLACK_MS);
  store.putText('op/config', format(12, NEW_SERVICE, OLD_SERVICE));
  const ackedMs = performance.now();
  review.write('the store acknowledges version 12');
  const breaches = [];
  const ask = async machine => {
    const sentMs = performance.now() - ackedMs;
    const {id, status} = await sendOnce(machine, {
      host: 'lookup',
      path: '/lookup/20',
      deadlineMs: DEADLINE_MS,
    });
    const endpointId = workLog.getEndpoint(id) ?? 'none';
    const text =
      `${id} sent to ${machine.name} ${Math.round(sentMs)} ms after the ` +
      `acknowledgement: status ${status}, run by ${endpointId}`;
    review.write(text);
    const isOld = endpointId.includes(OLD_SERVICE);
    if (sentMs > CONFIG_APPLY_MS && isOld) breaches.push(`CONFIG ${text}`);
  };
  while (performance.now() < ackedMs + ASK_FOR_MS) {
    await Promise.all(machines.map(ask));
    await sleep(ASK_INTERVAL_MS);
  }
  return breaches;
});
