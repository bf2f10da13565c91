/**
 * Sends long bodies over a link in parts, ahead of the frame that they belong to.
 * A frame that contains its body is copied by the encoder and by the WebSocket, and
 * holds up all frames behind it.
 *
 * A message of a transfer starts with a byte that starts no encoded frame, the kind
 * of the message, the number of the transfer and the length of the body.
 */

import type {RelayFrame} from './relay_frames.js';
import {decodeRelayFrame, encodeRelayFrame} from './relay_frames.js';

/** A frame with a body. */
export type BodyFrame = Extract<RelayFrame, {readonly body: Uint8Array}>;

/** Memory for one body that arrives. */
export interface BodyHolding {
  /** Names the body for which the memory is held. */
  setBody(body: Uint8Array): void;
  release(): void;
}

/** Memory for the bodies that arrive over links. */
export interface BodyMemory {
  /** Returns `undefined` if the body doesn't fit. */
  hold(bytes: number): BodyHolding | undefined;
  /** Counts bytes that were copied into buffers of their own. */
  countBytes(bytes: number): void;
}

/** Memory without a bound. */
export const UNBOUNDED_BODY_MEMORY: BodyMemory = {
  hold: () => ({setBody: () => undefined, release: () => undefined}),
  countBytes: () => undefined,
};

/** Bodies up to this size are part of their frame. */
const MAX_WHOLE_BYTES = 256 * 1_024;
const PART_BYTES = 128 * 1_024;
/** Bytes queued in a socket from which on no further part is added. */
const HIGH_WATER_BYTES = 512 * 1_024;

/** Not used by MessagePack. */
const MARKER = 0xc1;
const HEADER_BYTES = 10;
const KIND_PART = 1;
const KIND_END = 2;
const KIND_ABORT = 3;
const EMPTY_BODY = new Uint8Array();

/** Whether a message belongs to a transfer. */
export function isTransferMessage(message: Uint8Array): boolean {
  return message[0] === MARKER;
}

/** Returns the frame if its body is to be sent in parts. */
export function toLongFrame(frame: RelayFrame): BodyFrame | undefined {
  const isLong = 'body' in frame && frame.body.byteLength > MAX_WHOLE_BYTES;
  return isLong ? frame : undefined;
}

/** Socket of a link, as far as transfers use it. */
export interface TransferSocket {
  readonly bufferedAmount: number;
  send(message: Uint8Array, handleSent: () => void): void;
}

interface OutgoingTransfer {
  readonly id: number;
  readonly frame: BodyFrame;
  sentBytes: number;
}

/** Transfers to the other side of a link, in turns. */
export class OutgoingTransfers {
  private transfers: OutgoingTransfer[] = [];
  private lastId = 0;
  private handleDone: (() => void) | undefined;

  constructor(
    private readonly socket: TransferSocket,
    private readonly memory: BodyMemory,
  ) {}

  send(frame: BodyFrame): void {
    this.lastId += 1;
    this.transfers.push({id: this.lastId, frame, sentBytes: 0});
    this.sendNext();
  }

  /** Drops the transfer of an offer; `false` if it has been sent. */
  cancel(callId: string): boolean {
    const cancelled = this.transfers.find(
      ({frame}) => frame.kind === 'offer' && frame.callId === callId,
    );
    if (!cancelled) return false;
    this.transfers = this.transfers.filter(each => each !== cancelled);
    this.sendMessage(KIND_ABORT, cancelled, EMPTY_BODY);
    return true;
  }

  clear(): void {
    this.transfers = [];
  }

  /** Calls back once everything has been handed to the socket. */
  whenDone(handleDone: () => void): void {
    this.handleDone = handleDone;
    this.sendNext();
  }

  /** Bytes that have not been handed to the socket, of one kind of frame or of all. */
  countBytes(kind?: BodyFrame['kind']): number {
    let bytes = 0;
    for (const {frame, sentBytes} of this.transfers) {
      if (kind && frame.kind !== kind) continue;
      bytes += frame.body.byteLength - sentBytes;
    }
    return bytes;
  }

  private readonly sendNext = (): void => {
    while (this.socket.bufferedAmount < HIGH_WATER_BYTES) {
      const transfer = this.transfers.shift();
      if (!transfer) {
        this.handleDone?.();
        this.handleDone = undefined;
        return;
      }
      const {frame, sentBytes} = transfer;
      const part = frame.body.subarray(sentBytes, sentBytes + PART_BYTES);
      transfer.sentBytes += part.byteLength;
      this.sendMessage(KIND_PART, transfer, part);
      if (transfer.sentBytes < frame.body.byteLength) {
        this.transfers.push(transfer);
        continue;
      }
      const end = encodeRelayFrame({...frame, body: EMPTY_BODY});
      this.sendMessage(KIND_END, transfer, end);
    }
  };

  private sendMessage(
    kind: number,
    {id, frame}: OutgoingTransfer,
    content: Uint8Array,
  ): void {
    const message = Buffer.allocUnsafe(HEADER_BYTES + content.byteLength);
    message.writeUInt8(MARKER, 0);
    message.writeUInt8(kind, 1);
    message.writeUInt32BE(id, 2);
    message.writeUInt32BE(frame.body.byteLength, 6);
    message.set(content, HEADER_BYTES);
    this.memory.countBytes(message.byteLength);
    this.socket.send(message, this.sendNext);
  }
}

interface IncomingTransfer {
  /** Undefined if the body does not fit into the memory. */
  readonly body: Buffer | undefined;
  readonly holding: BodyHolding | undefined;
  readonly totalBytes: number;
  receivedBytes: number;
}

/** Result of a message; `frame` is undefined until the transfer has ended. */
export type TransferResult =
  | {readonly kind: 'invalid'}
  | {readonly kind: 'pending'}
  | {
      readonly kind: 'frame';
      readonly frame: BodyFrame;
      /** Whether the body fits into the memory; it is empty if not. */
      readonly hasBody: boolean;
      /** To be called once the frame has been handled. */
      readonly release: () => void;
    };

/** Transfers from the other side of a link. */
export class IncomingTransfers {
  private readonly transfers = new Map<number, IncomingTransfer>();

  constructor(
    private readonly memory: BodyMemory,
    private readonly maxBodyBytes: number,
  ) {}

  receive(message: Uint8Array): TransferResult {
    if (message.byteLength < HEADER_BYTES) return {kind: 'invalid'};
    const header = Buffer.from(message.buffer, message.byteOffset);
    const id = header.readUInt32BE(2);
    const totalBytes = header.readUInt32BE(6);
    const content = message.subarray(HEADER_BYTES);
    this.memory.countBytes(message.byteLength);
    switch (message[1]) {
      case KIND_PART:
        return this.append(id, totalBytes, content);
      case KIND_END:
        return this.end(id, content);
      case KIND_ABORT:
        this.transfers.get(id)?.holding?.release();
        this.transfers.delete(id);
        return {kind: 'pending'};
      default:
        return {kind: 'invalid'};
    }
  }

  clear(): void {
    for (const {holding} of this.transfers.values()) holding?.release();
    this.transfers.clear();
  }

  private append(
    id: number,
    totalBytes: number,
    part: Uint8Array,
  ): TransferResult {
    if (totalBytes > this.maxBodyBytes) return {kind: 'invalid'};
    const transfer = this.transfers.get(id) ?? this.open(id, totalBytes);
    const {body, receivedBytes} = transfer;
    if (receivedBytes + part.byteLength > transfer.totalBytes) {
      return {kind: 'invalid'};
    }
    body?.set(part, receivedBytes);
    transfer.receivedBytes += part.byteLength;
    return {kind: 'pending'};
  }

  private open(id: number, totalBytes: number): IncomingTransfer {
    const holding = this.memory.hold(totalBytes);
    // The operating system provides the pages as they are written.
    const body = holding && Buffer.allocUnsafeSlow(totalBytes);
    const transfer = {body, holding, totalBytes, receivedBytes: 0};
    this.transfers.set(id, transfer);
    return transfer;
  }

  private end(id: number, encoded: Uint8Array): TransferResult {
    const transfer = this.transfers.get(id);
    this.transfers.delete(id);
    const decoded = decodeRelayFrame(encoded);
    const isWhole = transfer?.receivedBytes === transfer?.totalBytes;
    if (
      !transfer ||
      !isWhole ||
      decoded.isErr() ||
      !('body' in decoded.value)
    ) {
      transfer?.holding?.release();
      return {kind: 'invalid'};
    }
    const {body, holding} = transfer;
    if (body) holding?.setBody(body);
    return {
      kind: 'frame',
      frame: {...decoded.value, body: body ?? EMPTY_BODY},
      hasBody: body !== undefined,
      release: () => holding?.release(),
    };
  }
}
