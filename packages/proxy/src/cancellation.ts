/**
 * A cancellation that undici understands. It is an event emitter and not an
 * AbortSignal, which costs several times as much per request.
 */

import {EventEmitter} from 'node:events';

/** Emits `abort` once. */
export class Cancellation extends EventEmitter {
  /** Whether it has been aborted. */
  aborted = false;

  /** Aborts; further calls do nothing. */
  abort(): void {
    if (this.aborted) return;
    this.aborted = true;
    this.emit('abort');
  }
}
