/** Messages between daemons, their codecs and their transports. */

export * from './addresses.js';
export * from './member_record.js';
export * from './messages.js';
export * from './body_transfers.js';
export * from './codec.js';
export * from './transport.js';
export * from './web_socket_transport.js';
export * from './relay_frames.js';
export * from './relay_transport.js';
