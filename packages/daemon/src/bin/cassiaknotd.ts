#!/usr/bin/env node
/** The daemon's command line. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {SettingOverride, Settings} from '../settings.js';
import {readSettings} from '../settings.js';
import {newLog} from '../logging.js';
import type {Log} from '../logging.js';
import {wireDaemon} from '../wire_daemon.js';
import type {Daemon} from '../daemon.js';

const EXIT_SETTINGS = 2;
const EXIT_FATAL = 70;
const EXIT_CUT = 1;

const args = await yargs(hideBin(process.argv))
  .scriptName('cassiaknotd')
  .usage('$0 --config FILE [--set section.name=value ...] [--check]')
  .option('config', {
    type: 'string',
    demandOption: true,
    describe: 'settings file in INI form',
  })
  .option('set', {
    type: 'string',
    array: true,
    default: [] as string[],
    describe: 'override one setting',
  })
  .option('check', {
    type: 'boolean',
    default: false,
    describe: 'check the settings and exit',
  })
  .strict()
  .parse();

const settings = await readSettings(args.config, args.set.map(toOverride));
if (settings.isErr()) {
  for (const message of settings.error.messages) {
    process.stderr.write(`settings: ${message}\n`);
  }
  process.exit(EXIT_SETTINGS);
}
if (args.check) {
  process.stdout.write('settings: ok\n');
  process.exit(0);
}
await run(settings.value);

async function run(checked: Settings): Promise<void> {
  const {level, format} = checked.log;
  const instanceId = checked.daemon.instance_id;
  const log = newLog({level, format, instanceId});
  const onFatal = (error: unknown) => exitOnFatal(log, error);
  process.on('uncaughtException', onFatal);
  process.on('unhandledRejection', onFatal);
  const daemon = wireDaemon(checked, log, onFatal);
  let isStopping = false;
  const handleSignal = () => {
    if (isStopping) return;
    isStopping = true;
    void stop(daemon);
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  await daemon.start();
}

async function stop(daemon: Daemon): Promise<void> {
  const isWhole = await daemon.stop();
  process.exit(isWhole ? 0 : EXIT_CUT);
}

function exitOnFatal(log: Log, error: unknown): void {
  const text = error instanceof Error ? (error.stack ?? error.message) : error;
  log.write('error', 'daemon', `Broken invariant: ${String(text)}`);
  process.exit(EXIT_FATAL);
}

function toOverride(text: string): SettingOverride {
  const equals = text.indexOf('=');
  if (equals < 0) return {path: text, value: ''};
  return {path: text.slice(0, equals), value: text.slice(equals + 1)};
}
