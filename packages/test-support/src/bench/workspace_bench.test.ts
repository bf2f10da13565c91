import {expect} from 'chai';
import {measureWorkspaces} from './workspace_bench.js';

const MAX_BYTES = 2 * 1024 * 1024;

describe('Memory of keys', () => {
  // Instances have 250 MB and a heap of 160 MB, of which keys must take little.
  it('5,000 keys of 82 workspaces take under 2 MB', () => {
    const {heapBytes} = measureWorkspaces(5_000, 82);
    expect(heapBytes).to.be.below(MAX_BYTES);
  });
});
