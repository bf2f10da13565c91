#!/usr/bin/env node
/** Command line for operators. */

import {userInfo} from 'node:os';
import {ORPHAN_AGE_MS} from '@cassiaknot/coordination';
import {HttpStore} from '@cassiaknot/store';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {CommandContext, ExitStatus} from '../command_context.js';
import {runApply} from '../commands/apply.js';
import {runCollect} from '../commands/collect.js';
import {runHistory} from '../commands/history.js';
import {runShow} from '../commands/show.js';
import {runStatus} from '../commands/status.js';
import {runValidate} from '../commands/validate.js';

const STORE_TIMEOUT_MS = 2_000;
const DEFAULT_STORE_URL = 'http://127.0.0.1:2379';

await yargs(hideBin(process.argv))
  .scriptName('cassiaknot')
  .option('store', {
    type: 'string',
    default: process.env['CASSIAKNOT_STORE'] ?? DEFAULT_STORE_URL,
    describe: "base URL of the platform's key-value service",
  })
  .command(
    'apply <file>',
    'update the configuration to match an inventory file',
    builder =>
      builder
        .positional('file', {type: 'string', demandOption: true})
        .option('author', {type: 'string', default: userInfo().username})
        .option('dry-run', {type: 'boolean', default: false}),
    args =>
      runWithStore(args.store, context =>
        runApply(context, {
          file: args.file,
          author: args.author,
          dryRun: args.dryRun,
        }),
      ),
  )
  .command(
    'validate <file>',
    'validate an inventory file without contacting the store',
    builder => builder.positional('file', {type: 'string', demandOption: true}),
    args =>
      runWithStore(args.store, context => runValidate(context, args.file)),
  )
  .command(
    'show',
    'print the current configuration',
    builder => builder,
    args => runWithStore(args.store, runShow),
  )
  .command(
    'history',
    'list the most recent accepted changes',
    builder => builder,
    args => runWithStore(args.store, runHistory),
  )
  .command(
    'collect',
    'delete orphaned changes and snapshots from the store',
    builder =>
      builder.option('age-ms', {type: 'number', default: ORPHAN_AGE_MS}),
    args =>
      runWithStore(args.store, context => runCollect(context, args.ageMs)),
  )
  .command(
    'status <daemons..>',
    'print the status of daemons, given their operator URLs',
    builder =>
      builder.positional('daemons', {
        type: 'string',
        array: true,
        demandOption: true,
      }),
    args =>
      runWithStore(args.store, context => runStatus(context, args.daemons)),
  )
  .demandCommand(1, 'Specify a command.')
  .strict()
  .parse();

async function runWithStore(
  url: string,
  command: (context: CommandContext) => Promise<ExitStatus>,
): Promise<void> {
  const store = new HttpStore({url, timeoutMs: STORE_TIMEOUT_MS});
  process.exitCode = await command({
    store,
    print: line => process.stdout.write(`${line}\n`),
    printError: line => process.stderr.write(`${line}\n`),
  });
  await store.close();
}
