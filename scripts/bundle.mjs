/**
 * Bundles the daemon for the platform's machines into one file, and keeps its
 * bytecode beside it.
 */

import {execFileSync} from 'node:child_process';
import {copyFileSync, readdirSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';

const LEAN_UNDICI_PATH = 'scripts/undici_core.cjs';
const LAUNCHER_PATH = 'target/cassiaknot.cjs';
/** As in `deploy/system.toml`. */
const ENGINE_FLAGS = ['--max-old-space-size=160'];

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map(name => [
    `@cassiaknot/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

/** Takes the parts of undici that are used in place of its index. */
const leanUndici = {
  name: 'lean-undici',
  setup({onResolve}) {
    onResolve({filter: /^undici$/}, () => ({path: resolve(LEAN_UNDICI_PATH)}));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/daemon.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias,
  plugins: [leanUndici],
  logLevel: 'warning',
});
copyFileSync('scripts/launcher.cjs', LAUNCHER_PATH);
// Bytecode fits only an engine that runs with the same flags.
execFileSync(process.execPath, [
  ...ENGINE_FLAGS,
  LAUNCHER_PATH,
  '--write-cache',
]);
