import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {expect} from 'chai';
import type {NewCaller} from './targets/target_callers.js';
import {
  newFreshRelayCaller,
  newProxyCaller,
  newRelayCaller,
} from './targets/target_callers.js';
import type {EarlyEnd} from './targets/upload_target.js';
import {UploadTarget} from './targets/upload_target.js';

const RUN_COUNT = 3;
/** Time in which the rest of an upload is written. */
const REST_MS = 500;
/** Publishes each socket that connects. */
const SOCKET_CHANNEL = 'net.client.socket';
/** Time in which the first part of a response is read. */
const WRITE_FAILURE_DELAY_MS = 60;
/** Fits into the buffers of a connection. */
const SHORT_UPLOAD = Buffer.alloc(40_000, 'u');
/** Exceeds the buffers of a connection many times. */
const LONG_UPLOAD = Buffer.alloc(16 * 1024 * 1024, 'u');

const CALLERS: Readonly<Record<string, NewCaller>> = {
  relay: newRelayCaller,
  'relay on a fresh connection': newFreshRelayCaller,
  proxy: newProxyCaller,
};

function isFramed(bytes: string): boolean {
  return /^(Content-Len|Transfer-Enc)/m.test(bytes);
}

/** Responses of which a part is sent before the connection ends. */
const PARTS: Readonly<Record<string, string>> = {
  'without a length': 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\npart',
  'without a length, closing':
    'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart',
  'of HTTP/1.0': 'HTTP/1.0 200 OK\r\n\r\npart',
  'with a length': 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart',
  'in chunks': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart',
};
// A target that has read the whole request ends a response without a length by closing.
const CUTS = Object.entries(PARTS).flatMap(([form, bytes]) =>
  (['reset', 'fin'] as const).flatMap(end =>
    (end === 'reset' || isFramed(bytes) ? [true, false] : [false]).map(
      isReading => ({form, bytes, end, isReading}),
    ),
  ),
);
const WHOLE_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

async function startTarget(
  bytes: string,
  end: EarlyEnd,
  isReading: boolean,
): Promise<UploadTarget> {
  const target = new UploadTarget(bytes, end, isReading);
  await target.start();
  return target;
}

/** Uploads to new targets; returns the kinds of the outcomes that are answers. */
async function countAnswers(
  newCaller: NewCaller,
  newTarget: () => Promise<UploadTarget>,
  upload: Buffer,
): Promise<number> {
  let answerCount = 0;
  for (let run = 0; run < RUN_COUNT; run += 1) {
    const target = await newTarget();
    const caller = newCaller(target.getAddress());
    const outcome = await caller.describe('POST', upload);
    if (outcome.startsWith('answered')) answerCount += 1;
    await caller.close();
    target.stop();
  }
  return answerCount;
}

/** Error of a write on a connection that was reset, as the runtime reports it. */
function newWriteError(code: string): Error {
  return Object.assign(new Error(`write ${code}`), {code, syscall: 'write'});
}

/** Uploads; once the response has begun, a write fails with the given code. */
async function uploadUntilWriteFails(
  newCaller: NewCaller,
  code: string,
): Promise<string> {
  const target = await startTarget(PARTS['of HTTP/1.0'] ?? '', 'read-on', true);
  const sockets: Socket[] = [];
  const recordSocket = (message: unknown) => {
    sockets.push((message as {socket: Socket}).socket);
  };
  subscribe(SOCKET_CHANNEL, recordSocket);
  const caller = newCaller(target.getAddress());
  const outcome = caller.describe('POST', SHORT_UPLOAD);
  await new Promise(resolve => setTimeout(resolve, WRITE_FAILURE_DELAY_MS));
  unsubscribe(SOCKET_CHANNEL, recordSocket);
  for (const socket of sockets) socket.destroy(newWriteError(code));
  const result = await outcome;
  await caller.close();
  target.stop();
  return result;
}

describe('Responses to uploads that are still being written', () => {
  for (const [name, newCaller] of Object.entries(CALLERS)) {
    for (const {form, bytes, end, isReading} of CUTS) {
      const state = isReading ? 'reading' : 'not reading';
      // The part of the response was passed on as complete.
      it(`cut: ${name}, ${form}, ${end} while ${state}`, async () => {
        const newTarget = () => startTarget(bytes, end, isReading);
        const count = await countAnswers(newCaller, newTarget, LONG_UPLOAD);
        expect(count).to.equal(0);
      });
    }

    // A reset during the upload can look the same to the runtime.
    it(`cut: ${name}, without a length, ends before the upload`, async () => {
      const bytes = PARTS['without a length'] ?? '';
      const newTarget = () => startTarget(bytes, 'end-and-read-on', false);
      const count = await countAnswers(newCaller, newTarget, LONG_UPLOAD);
      expect(count).to.equal(0);
    });

    for (const code of ['ECONNRESET', 'EPIPE']) {
      // Whether reading or writing sees a reset first depends on the kernel's timing.
      it(`cut: ${name}, a write fails with ${code}`, async () => {
        const outcome = await uploadUntilWriteFails(newCaller, code);
        expect(outcome).to.match(/^lost/);
      });
    }

    for (const form of ['without a length', 'of HTTP/1.0'] as const) {
      // The reset is seen when the response has been read.
      it(`cut: ${name}, ${form}, short upload`, async () => {
        const bytes = PARTS[form] ?? '';
        const newTarget = () => startTarget(bytes, 'reset', false);
        expect(await countAnswers(newCaller, newTarget, SHORT_UPLOAD))
          .to //
          .equal(0);
      });
    }

    // An endpoint may answer before it has read a long body.
    it(`whole: ${name}, early response on a kept connection`, async () => {
      const newTarget = () => startTarget(WHOLE_RESPONSE, 'read-on', false);
      const count = await countAnswers(newCaller, newTarget, LONG_UPLOAD);
      expect(count).to.equal(RUN_COUNT);
    });
  }

  // Bytes of another request would be taken for the rest of the body.
  for (const [name, newCaller] of Object.entries(CALLERS)) {
    it(`writes the whole body after an early response: ${name}`, async () => {
      const target = await startTarget(WHOLE_RESPONSE, 'read-on', false);
      const caller = newCaller(target.getAddress());
      expect(await caller.describe('POST', LONG_UPLOAD)).to.equal(
        'answered 200',
      );
      await new Promise(resolve => setTimeout(resolve, REST_MS));
      await caller.close();
      target.stop();
      const received = Buffer.concat(target.received);
      const bodyAt = received.indexOf('\r\n\r\n') + 4;
      expect(received.subarray(bodyAt).equals(LONG_UPLOAD)).to.equal(true);
    });
  }
});
