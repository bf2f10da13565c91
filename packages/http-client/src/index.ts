/** HTTP/1.1 connections that pass on only valid and complete responses. */

export * from './checked_client.js';
export * from './response_errors.js';
export * from './response_head.js';
