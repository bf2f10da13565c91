/** Spawns actors whose state is one object with narrow methods. */

import {dispatch, spawn} from 'nact';
import type {ActorSystemRef, Ref} from 'nact';

/** An object that handles the messages of one mailbox, one at a time. */
export interface MessageHandler<M> {
  handle(message: M): void;
}

/** Spawns an actor; an exception in its handler is a broken invariant. */
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

/** A reference that is set once all actors have been spawned. */
export class LateRef<M> {
  private ref: Ref<M> | undefined;

  /** Sets the actor that receives the messages. */
  bind(ref: Ref<M>): void {
    this.ref = ref;
  }

  /** Sends a message to the actor. */
  send(message: M): void {
    if (!this.ref) throw new Error('The actor has not been spawned');
    dispatch(this.ref, message);
  }
}
