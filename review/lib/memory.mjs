/** The platform's limit on the memory of a process. */

import {MEMORY_MB} from './machine.mjs';

const MEMORY_POLL_MS = 10;

/** Does as DEPLOY.md says: "A process that exceeds `MemoryMb` is killed." */
export function limitMemory(review, machine) {
  let peakMb = 0;
  const timer = setInterval(async () => {
    const {child} = machine;
    const memoryMb = await machine.readMemoryMb();
    if (memoryMb === undefined) return;
    peakMb = Math.max(peakMb, memoryMb);
    if (memoryMb <= MEMORY_MB || child.killed) return;
    review.write(`${machine.name} uses ${memoryMb.toFixed(0)} MB: killed`);
    child.kill('SIGKILL');
  }, MEMORY_POLL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      review.write(`peak memory: ${peakMb.toFixed(0)} MB`);
    },
  };
}
