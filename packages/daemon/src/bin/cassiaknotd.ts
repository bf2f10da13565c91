#!/usr/bin/env node
/** Command line of the daemon. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {SettingOverride, Settings} from '../settings.js';
import {readSettings} from '../settings.js';
import {newLog} from '../logging.js';
import type {Log} from '../logging.js';
import {newDaemon} from '../daemon_factory.js';
import type {Daemon} from '../daemon.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FATAL = 70;
const EXIT_REQUESTS_ABORTED = 1;

const args = await yargs(hideBin(process.argv))
  .scriptName('cassiaknotd')
  .usage('$0 --config FILE [--set section.name=value ...] [--check]')
  .option('config', {
    type: 'string',
    demandOption: true,
    describe: 'settings file in INI format',
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
    describe: 'validate the settings and exit',
  })
  .strict()
  .parse();

const settings = await readSettings(args.config, args.set.map(toOverride));
if (settings.isErr()) {
  for (const message of settings.error.messages) {
    process.stderr.write(`settings: ${args.config}: ${message}\n`);
  }
  process.exit(EXIT_INVALID_SETTINGS);
}
if (args.check) {
  process.stdout.write('settings: ok\n');
  process.exit(0);
}
await run(settings.value);

async function run(validSettings: Settings): Promise<void> {
  const {level, format} = validSettings.log;
  const instanceId = validSettings.daemon.instance_id;
  const log = newLog({level, format, instanceId});
  const onFatal = (error: unknown) => exitOnFatal(log, error);
  process.on('uncaughtException', onFatal);
  process.on('unhandledRejection', onFatal);
  const daemon = newDaemon(validSettings, log, onFatal);
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
  const isGraceful = await daemon.stop();
  process.exit(isGraceful ? 0 : EXIT_REQUESTS_ABORTED);
}

function exitOnFatal(log: Log, error: unknown): void {
  const text = error instanceof Error ? (error.stack ?? error.message) : error;
  log.write('error', 'daemon', `Fatal error: ${String(text)}`);
  process.exit(EXIT_FATAL);
}

function toOverride(text: string): SettingOverride {
  const separator = text.indexOf('=');
  if (separator < 0) return {path: text, value: ''};
  return {path: text.slice(0, separator), value: text.slice(separator + 1)};
}
