/** Runs message handler objects as actors. */

import {dispatch, spawn} from 'nact';
import type {ActorSystemRef, Ref} from 'nact';

/** Handles the messages of one mailbox, one at a time. */
export interface MessageHandler<M> {
  handle(message: M): void;
}

/**
 * Spawns an actor. An exception in its handler is a broken invariant: it is
 * passed to `onFatal` and the actor stops.
 */
export function spawnHandler<M>(
  system: ActorSystemRef,
  name: string,
  handler: MessageHandler<M>,
  onFatal: (error: Error) => void,
): Ref<M> {
  const actor = (state: MessageHandler<M>, message: M): MessageHandler<M> => {
    state.handle(message);
    return state;
  };
  return spawn<ActorSystemRef, typeof actor>(system, actor, name, {
    initialState: handler,
    onCrash: (_message, error, context) => {
      onFatal(error ?? new Error(`Actor ${name} failed`));
      return context.stop;
    },
  });
}

/**
 * An actor reference that is bound after construction, because the actors
 * refer to each other.
 */
export class DeferredRef<M> {
  private ref: Ref<M> | undefined;

  bind(ref: Ref<M>): void {
    this.ref = ref;
  }

  send(message: M): void {
    if (!this.ref) throw new Error('Message sent before the actor was spawned');
    dispatch(this.ref, message);
  }
}
