import {brandId} from '@cassiaknot/inventory';
import type {
  InstanceId,
  RuleId,
  ServiceId,
  WorkspaceId,
} from '@cassiaknot/inventory';
import {expect} from 'chai';
import {Packr} from 'msgpackr';
import type {CallId, RelayFrame} from './relay_frames.js';
import {decodeRelayFrame, encodeRelayFrame} from './relay_frames.js';

const packr = new Packr({useRecords: false});

const CALL_ID = brandId<CallId>('1');
const HEADERS: string[] = ['a', 'b'];
const BODY = Buffer.from('x');

/** Frames with the fields that older versions do not send. */
const FRAMES: readonly RelayFrame[] = [
  {
    kind: 'offer',
    callId: CALL_ID,
    requestId: 'r',
    serviceId: brandId<ServiceId>('s'),
    ruleId: brandId<RuleId>('rule'),
    method: 'GET',
    path: '/',
    headers: HEADERS,
    body: BODY,
    callerServiceId: 'c',
    remainingMs: 100,
    maxWaitMs: 10,
    objectiveMs: 50,
    objectiveLeftMs: -1,
    urgency: 1,
    isIdempotent: true,
    sentAtMs: 12.5,
    clockEpoch: 1,
    workspaceId: brandId<WorkspaceId>('w'),
  },
  {
    kind: 'answer',
    callId: CALL_ID,
    statusCode: 200,
    headers: HEADERS,
    body: BODY,
    isFramed: true,
    waitMs: 1,
    runMs: 2,
    transitMs: 3,
    isTargetLeaving: true,
  },
  {
    kind: 'target-state',
    serviceId: 's',
    isAccepting: true,
    slots: 2,
    coldMs: 0,
    targetId: 't',
    startedAtMs: 3,
  },
  {
    kind: 'permit-request',
    requestNumber: 7,
    workspaceId: brandId<WorkspaceId>('w'),
    count: 3,
    returnedCount: 1,
    candidateId: brandId<InstanceId>('i'),
  },
  {
    kind: 'permit-grant',
    requestNumber: 7,
    count: 2,
    validMs: 250,
    retryAfterMs: 200,
  },
];
/** Number of fields at the end of these frames that older versions do not send. */
const NEW_FIELD_COUNTS = [3, 2, 2, 1, 0];

describe('Relay frames', () => {
  it('are the same after encoding and decoding', () => {
    for (const frame of FRAMES) {
      const decoded = decodeRelayFrame(encodeRelayFrame(frame));
      expect(decoded.unwrap()).to.deep.equal(frame);
    }
  });

  it('rolling upgrade: are read without the fields that older versions lack', () => {
    for (const [index, frame] of FRAMES.entries()) {
      const fields = packr.unpack(encodeRelayFrame(frame)) as unknown[];
      const shorter = fields.slice(
        0,
        fields.length - (NEW_FIELD_COUNTS[index] ?? 0),
      );
      const decoded = decodeRelayFrame(packr.pack(shorter));
      expect(decoded.unwrap().kind).to.equal(frame.kind);
    }
  });

  it('rolling upgrade: are read with fields that newer versions add', () => {
    for (const frame of FRAMES) {
      const fields = packr.unpack(encodeRelayFrame(frame)) as unknown[];
      const decoded = decodeRelayFrame(packr.pack([...fields, 'new']));
      expect(decoded.unwrap()).to.deep.equal(frame);
    }
  });
});
