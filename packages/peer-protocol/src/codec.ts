/**
 * MessagePack codec for peer messages. Large frames are compressed, since
 * configurations are repetitive and links can be slow. Decoded messages are
 * validated.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {PeerMessage} from './messages.js';
import {PEER_MESSAGE_SCHEMA} from './messages.js';

/**
 * Why a frame was not accepted: it is not MessagePack (`undecodable`), or its
 * content does not match a schema (`invalid`).
 */
export interface DecodeError {
  readonly kind: 'undecodable' | 'invalid';
  readonly message: string;
}

/** First byte of a compressed frame; MessagePack never uses it. */
const COMPRESSED_MARKER = 0xc1;
/** Size from which a frame is compressed. */
const MIN_COMPRESSED_BYTES = 1_024;
/** Higher levels cost more processor time and save little. */
const COMPRESSION_LEVEL = 3;
/** Bounds the memory that a compressed frame may expand to. */
const MAX_INFLATED_BYTES = 64 * 1024 * 1024;

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Frames of messages that may be sent to several peers, or passed on, while these exist. */
const largeFrames = new WeakMap<PeerMessage, Buffer>();

/** Encodes a message as one frame; a message object must not change afterwards. */
export function encodeMessage(message: PeerMessage): Buffer {
  const known = largeFrames.get(message);
  if (known) return known;
  const frame = packr.pack(message);
  if (frame.byteLength < MIN_COMPRESSED_BYTES) return frame;
  const compressed = deflateRawSync(frame, {level: COMPRESSION_LEVEL});
  const largeFrame = Buffer.concat([Buffer.of(COMPRESSED_MARKER), compressed]);
  largeFrames.set(message, largeFrame);
  return largeFrame;
}

/** Decodes a frame and validates the message in it. */
export function decodeMessage(
  frame: Uint8Array,
): Result<PeerMessage, DecodeError> {
  let value: unknown;
  try {
    value = packr.unpack(inflateFrame(frame));
  } catch (error) {
    return Err({kind: 'undecodable', message: String(error)});
  }
  const parsed = PEER_MESSAGE_SCHEMA.safeParse(value);
  if (parsed.success) {
    if (isCompressed(frame)) largeFrames.set(parsed.data, asBuffer(frame));
    return Ok(parsed.data);
  }
  return Err({kind: 'invalid', message: parsed.error.message});
}

function inflateFrame(frame: Uint8Array): Uint8Array {
  if (!isCompressed(frame)) return frame;
  return inflateRawSync(frame.subarray(1), {
    maxOutputLength: MAX_INFLATED_BYTES,
  });
}

function isCompressed(frame: Uint8Array): boolean {
  return frame[0] === COMPRESSED_MARKER;
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
