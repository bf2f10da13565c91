'use strict';

/**
 * The parts of undici that the daemon uses. The library's index also loads
 * fetch, caches and mocks, which is a sixth of the time that a start takes.
 */

const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const request = require('undici/lib/api/api-request.js');

Dispatcher.prototype.request = request;

module.exports = {
  Agent: require('undici/lib/dispatcher/agent.js'),
  Client: require('undici/lib/dispatcher/client.js'),
  Pool: require('undici/lib/dispatcher/pool.js'),
  buildConnector: require('undici/lib/core/connect.js'),
};
