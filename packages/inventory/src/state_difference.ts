/** Differences between two states, found by the identity of their records. */

import type {InventoryRecord} from './records.js';
import type {ConfigurationState} from './state.js';

/** Records that one state holds and another does not. */
export interface StateDifference {
  /** Records that are new or replaced. */
  readonly puts: readonly InventoryRecord[];
  /** Records that were removed or replaced. */
  readonly removals: readonly InventoryRecord[];
}

/**
 * Compares two states. Equal records that are different objects count as replaced, so
 * that states without a common origin differ in all records.
 */
export function compareStates(
  before: ConfigurationState,
  after: ConfigurationState,
): StateDifference {
  const puts: InventoryRecord[] = [];
  const removals: InventoryRecord[] = [];
  for (const [key, record] of after.records) {
    const previous = before.records.get(key);
    if (previous === record) continue;
    puts.push(record);
    if (previous) removals.push(previous);
  }
  for (const [key, record] of before.records) {
    if (!after.records.has(key)) removals.push(record);
  }
  return {puts, removals};
}
