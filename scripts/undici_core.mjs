/**
 * The parts of undici that the daemon uses. The index of the library also loads
 * fetch, caches and mocks, which takes a sixth of the daemon's start time. As these
 * are named exports, the bundler fails if a package imports another part.
 */

import dispatchRequest from 'undici/lib/api/api-request.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import DecoratorHandler from 'undici/lib/handler/decorator-handler.js';

Dispatcher.prototype.request = dispatchRequest;

/** Imported by the client of the other kind of store, which the daemon never creates. */
function request() {
  throw new Error('request is not part of the bundled undici');
}

export {Agent, Client, DecoratorHandler, Pool, buildConnector, errors, request};
