/** Reads the response to one request to a target. */

import {InvalidResponseError} from '@cassiaknot/http-client';
import type {Dispatcher} from 'undici';
import {RESPONSE_MEMORY_LIMITS} from './constants.js';
import type {
  ClientUser,
  CountedDispatchOptions,
  CountingClient,
} from './counting_client.js';
import type {ResponseClassification, ResponseHead} from './header_codec.js';
import type {LossReason} from './outcome.js';
import type {ResponseBuffer} from './response_memory.js';
import {ResponseMemory} from './response_memory.js';
import type {
  ResponseHeaders,
  TargetExchange,
  TargetRequest,
} from './target_client.js';

/** Never that of a first response. */
const UNKNOWN_COUNT = Number.MAX_SAFE_INTEGER;
const EMPTY_BODY = new Uint8Array();
const ABORTED = new Error('the request is no longer needed');
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Responses of all targets that this process reads. */
const RESPONSE_MEMORY = new ResponseMemory(RESPONSE_MEMORY_LIMITS);

/** Sends one request and collects its response. */
export class ResponseReader implements Dispatcher.DispatchHandler, ClientUser {
  private client: CountingClient | undefined;
  private hasStarted = false;
  private head: ResponseHead | undefined;
  private classification: ResponseClassification | undefined;
  private buffer: ResponseBuffer | undefined;
  private resolve: ((exchange: TargetExchange) => void) | undefined;

  constructor(private readonly request: TargetRequest) {}

  /** Sends the request; called once. */
  exchange(dispatcher: Dispatcher): Promise<TargetExchange> {
    const {method, path, headers, body, signal} = this.request;
    return new Promise(resolve => {
      this.resolve = resolve;
      if (signal.aborted) {
        this.handleAbort();
        return;
      }
      signal.addEventListener('abort', this.handleAbort, {once: true});
      const options: CountedDispatchOptions = {
        method,
        path,
        headers: [...headers],
        body: body.byteLength > 0 ? body : null,
        user: this,
      };
      dispatcher.dispatch(options, this);
    });
  }

  setClient(client: CountingClient): void {
    this.client = client;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.hasStarted = true;
    if (this.isSettled()) controller.abort(ABORTED);
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: ResponseHeaders,
  ): void {
    if (this.isSettled()) return;
    const precedingResponseCount = this.client
      ? this.client.getResponseCount() - 1
      : UNKNOWN_COUNT;
    this.head = {statusCode, headers, precedingResponseCount};
    this.classification = this.request.classify(this.head);
    if (isIdentified(this.classification)) {
      this.buffer = RESPONSE_MEMORY.open(() =>
        this.abort({kind: 'lost', reason: 'answer-too-large'}),
      );
      return;
    }
    // A copy of this response, or the one that is due, may follow.
    this.abort(this.toResponse(this.head, this.classification, EMPTY_BODY));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    this.buffer?.append(chunk);
  }

  onResponseEnd(): void {
    const {head, classification, buffer} = this;
    if (this.isSettled() || !head || !classification || !buffer) return;
    this.settle(this.toResponse(head, classification, buffer.take()));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.settle(classifyError(error, this.head !== undefined));
  }

  private readonly handleAbort = (): void => {
    const reason = toAbortReason(this.request.signal.reason);
    this.abort({kind: 'lost', reason});
  };

  /** Settles the exchange and closes its connection. */
  private abort(exchange: TargetExchange): void {
    this.settle(exchange);
    if (this.hasStarted) this.client?.closeConnection();
  }

  private settle(exchange: TargetExchange): void {
    const {resolve} = this;
    if (!resolve) return;
    this.resolve = undefined;
    this.request.signal.removeEventListener('abort', this.handleAbort);
    this.buffer?.release();
    resolve(exchange);
  }

  private isSettled(): boolean {
    return this.resolve === undefined;
  }

  private toResponse(
    head: ResponseHead,
    classification: ResponseClassification,
    body: Uint8Array,
  ): TargetExchange {
    return {kind: 'response', ...head, classification, body};
  }
}

/** Whether an error has a field of the given value. */
function isErrorWith(error: unknown, field: string, value: string): boolean {
  if (!(error instanceof Error)) return false;
  return Reflect.get(error, field) === value;
}

function isIdentified(classification: ResponseClassification): boolean {
  switch (classification.kind) {
    case 'answer':
      return true;
    case 'not-run':
      return classification.isIdentified;
    case 'foreign':
      return false;
  }
}

function classifyError(error: Error, hasHead: boolean): TargetExchange {
  if (error instanceof InvalidResponseError) {
    return {kind: 'lost', reason: 'answer-foreign'};
  }
  const isConnectError = isErrorWith(error, 'syscall', 'connect');
  if (isConnectError || isErrorWith(error, 'code', CONNECT_TIMEOUT_CODE)) {
    const isRefused = isErrorWith(error, 'code', 'ECONNREFUSED');
    return {kind: 'unconnected', isRefused};
  }
  return {kind: 'lost', reason: hasHead ? 'answer-cut' : 'target-lost'};
}

function toAbortReason(reason: unknown): LossReason {
  return reason === 'timeout' || reason === 'target-silent'
    ? reason
    : 'cancelled';
}
