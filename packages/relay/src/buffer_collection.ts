/**
 * Collects buffers that are no longer used. The runtime does so only once 64 MiB have
 * been allocated, a quarter of the memory of the smallest instance.
 */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes read between two collections of the young generation, of about 1 ms each. */
const MINOR_AFTER_BYTES = 8 * 1_024 * 1_024;
/**
 * Bytes of long bodies that were released between two complete collections, of 10 to
 * 30 ms each. Long bodies live long enough to leave the young generation.
 */
const MAJOR_AFTER_BYTES = 8 * 1_024 * 1_024;
const MAJOR_DELAY_MS = 2;
/** Size from which on a body is long. */
const MIN_LONG_BYTES = 1_024 * 1_024;

type Collect = (options: {readonly type: 'minor' | 'major'}) => void;

let collect: Collect | undefined;
let readBytes = 0;
let releasedBytes = 0;

/** Counts bytes that were read into buffers of their own. */
export function countReadBytes(bytes: number): void {
  readBytes += bytes;
  if (readBytes < MINOR_AFTER_BYTES) return;
  readBytes = 0;
  collectBuffers('minor');
}

/** Counts the bytes of a body that is no longer needed. */
export function countReleasedBytes(bytes: number): void {
  if (bytes < MIN_LONG_BYTES) return;
  releasedBytes += bytes;
  if (releasedBytes < MAJOR_AFTER_BYTES) return;
  releasedBytes = 0;
  // Until its connection is closed, a pending write refers to the body.
  setTimeout(() => collectBuffers('major'), MAJOR_DELAY_MS);
}

function collectBuffers(type: 'minor' | 'major'): void {
  collect ??= exposeCollect();
  collect({type});
}

function exposeCollect(): Collect {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
}
