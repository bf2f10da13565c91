import {expect} from 'chai';
import fc from 'fast-check';
import type {Holding} from './held_memory.js';
import {HeldMemory, STALL_MS, toHeldBytes} from './held_memory.js';

const MAX_BYTES = 1_024 * 1_024;
const MIB = 1_024 * 1_024;
const SEED = 20_261_207;

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function ignore(): void {
  return;
}

const STEP = fc.record({
  action: fc.constantFrom('open', 'grow', 'wait', 'keep', 'release', 'yield'),
  kind: fc.constantFrom('request', 'upload', 'offer', 'response', 'answer'),
  index: fc.nat(30),
  bytes: fc.integer({min: 1, max: MAX_BYTES}),
});

describe('Held memory', () => {
  // Bytes that are given back twice, or never, end in a process that holds too much or
  // refuses everything.
  it('never holds more than its bound, and gets everything back', async () => {
    const property = fc.asyncProperty(
      fc.array(STEP, {minLength: 20, maxLength: 80}),
      async steps => {
        const memory = new HeldMemory(MAX_BYTES);
        const holdings: Holding[] = [];
        const waits: Array<Promise<boolean>> = [];
        for (const {action, kind, index, bytes} of steps) {
          const holding = holdings[index % Math.max(1, holdings.length)];
          if (action === 'open') holdings.push(memory.open(kind, ignore));
          else if (action === 'grow') holding?.tryGrow(bytes);
          else if (action === 'keep') holding?.keep();
          else if (action === 'release') holding?.release();
          else if (action === 'yield') holding?.yield();
          else if (holding) waits.push(holding.whenGrown(bytes, 1));
          expect(memory.getHeldBytes()).to.be.within(0, MAX_BYTES);
        }
        await Promise.resolve();
        for (const holding of holdings) holding.release();
        await Promise.all(waits);
        expect(memory.getHeldBytes()).to.equal(0);
        expect(memory.getWaitingCount()).to.equal(0);
      },
    );
    await fc.assert(property, {seed: SEED, numRuns: 200});
  });

  it('counts a body once that entry and gate of one process hold', () => {
    const memory = new HeldMemory(MAX_BYTES);
    const body = new Uint8Array(1_000);
    const first = memory.retain(body, 'offer');
    const second = memory.retain(body, 'offer');
    expect(memory.getHeldBytes()).to.equal(1_000);
    first?.release();
    expect(memory.getHeldBytes()).to.equal(1_000);
    second?.release();
    expect(memory.getHeldBytes()).to.equal(0);
  });

  it('lets a stalled upload yield to one that waits, but no kept one', async () => {
    const memory = new HeldMemory(MAX_BYTES);
    const yielded: string[] = [];
    const open = (name: string) =>
      memory.open('upload', () => yielded.push(name));
    const kept = open('kept');
    kept.tryGrow(MAX_BYTES / 4);
    kept.keep();
    const stalled = open('stalled');
    stalled.tryGrow(MAX_BYTES / 2);
    const waiting = open('waiting');
    const isGranted = waiting.whenGrown(MAX_BYTES / 2, 4 * STALL_MS);
    await pause(STALL_MS / 2);
    expect(yielded).to.deep.equal([]);
    expect(await isGranted).to.equal(true);
    expect(yielded).to.deep.equal(['stalled']);
    expect(memory.getHeldBytes()).to.equal((3 * MAX_BYTES) / 4);
  });

  it('lets no upload yield that makes progress, and ends the wait', async () => {
    const memory = new HeldMemory(MAX_BYTES);
    const active = memory.open('upload', ignore);
    active.tryGrow(MAX_BYTES / 2);
    const timer = setInterval(() => active.recordProgress(64 * 1_024), 50);
    const waiting = memory.open('upload', ignore);
    expect(await waiting.whenGrown(MAX_BYTES / 2, 2 * STALL_MS)).to.equal(
      false,
    );
    clearInterval(timer);
    expect(active.isOpen()).to.equal(true);
  });

  // Long uploads would otherwise refuse every ordinary request.
  it('keeps room for short reservations beside long ones', async () => {
    const memory = new HeldMemory(MAX_BYTES);
    const long = memory.open('upload', ignore);
    expect(await long.whenGrown(MAX_BYTES, 1)).to.equal(false);
    expect(long.tryGrow((7 * MAX_BYTES) / 8)).to.equal(true);
    const short = memory.open('request', ignore);
    expect(short.tryGrow(16 * 1_024)).to.equal(true);
  });

  it('smallest instance: one body of 64 MiB fits beside short reservations', () => {
    const memory = new HeldMemory(toHeldBytes(250));
    expect(memory.open('request', ignore).tryGrow(16 * 1_024)).to.equal(true);
    expect(memory.open('upload', ignore).tryGrow(64 * MIB)).to.equal(true);
  });
});
