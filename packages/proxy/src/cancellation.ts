/**
 * A cancellation signal that undici accepts. It is an event emitter because an
 * AbortSignal costs several times as much per request.
 */

import {EventEmitter} from 'node:events';

/** Emits `abort` at most once. */
export class Cancellation extends EventEmitter {
  /** undici reads this property, which an AbortSignal has, too. */
  aborted = false;

  /** Aborts; further calls have no effect. */
  abort(): void {
    if (this.aborted) return;
    this.aborted = true;
    this.emit('abort');
  }
}
