/** A heartbeat from another writer whose id can't be read. */

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  HAS_TROUBLE,
  formatConfiguration,
  runCase,
  sleep,
} from '../lib/deployment.mjs';
import {callControl} from '../lib/endpoint.mjs';
import {KeptConnections, WorkLog} from '../lib/lost.mjs';

const SERVICE = 'ledger';
const DEADLINE_MS = 2_000;
const CONNECTIONS = 6;
/** The percent-encoded byte is no UTF-8 text. */
const UNREADABLE_ID = 'i-7f3a91c2%FF';
const READABLE_ID = 'i-7f3a91c2';
/** A heartbeat that ends in the middle. */
const UNREADABLE_BODY = '{"Service":"ledger","Addr';

await runCase(dirname(fileURLToPath(import.meta.url)), async review => {
  await review.startMachines(
    [SERVICE, SERVICE, SERVICE, SERVICE],
    formatConfiguration(7, [
      {
        service: SERVICE,
        type: 'safe',
        timeoutMs: DEADLINE_MS,
        objectiveMs: 800,
      },
    ]),
  );
  const workLog = new WorkLog(review);
  await review.startEndpoints((...run) => workLog.run(...run));
  const [machine] = review.machines;
  const kept = new KeptConnections({
    review,
    machine,
    workLog,
    host: SERVICE,
    deadlineMs: DEADLINE_MS,
    count: CONNECTIONS,
  });
  await kept.open();
  const answers = kept.sendLong();
  await sleep(300);
  const id = HAS_TROUBLE ? UNREADABLE_ID : READABLE_ID;
  const path = `/api/instances/${id}/heartbeat`;
  const status = await callControl(machine, path, UNREADABLE_BODY);
  review.write(`POST ${path} ${UNREADABLE_BODY}: status ${status}`);
  await answers;
  kept.close();
  review.write(`ends of its own: ${machine.ownEnds.join('; ') || 'none'}`);
  return kept.check();
});
