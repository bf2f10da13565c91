/** HTTP client that makes itself known to the readers of its responses. */

import {CheckedClient} from '@cassiaknot/http-client';
import type {Dispatcher} from 'undici';

/** Receives the client that sends its request. */
export interface ClientUser {
  setClient(client: CountingClient): void;
}

/** Options of a request to a {@link CountingClient}. */
export interface CountedDispatchOptions extends Dispatcher.DispatchOptions {
  readonly user: ClientUser;
}

/** A client whose users can count its responses and close its connection. */
export class CountingClient extends CheckedClient {
  override dispatch(
    options: CountedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    options.user.setClient(this);
    return super.dispatch(options, handler);
  }
}
