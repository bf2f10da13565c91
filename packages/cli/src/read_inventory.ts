/** Reads an inventory file and reports its errors to the operator. */

import {readFile} from 'node:fs/promises';
import type {InventoryRecord, RecordKey} from '@cassiaknot/inventory';
import {parseInventory} from '@cassiaknot/inventory';
import type {CommandContext} from './command_context.js';

/** Returns the records of a file, or undefined after printing its errors. */
export async function readInventory(
  context: CommandContext,
  path: string,
): Promise<ReadonlyMap<RecordKey, InventoryRecord> | undefined> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    context.printError(`${path}: ${String(error)}`);
    return undefined;
  }
  const parsed = parseInventory(text);
  if (parsed.isOk()) return parsed.value;
  for (const {section, message} of parsed.error) {
    context.printError(`${path}: [${section}] ${message}`);
  }
  return undefined;
}
