/**
 * Bundles the daemon for the platform into one file and writes the code cache of
 * the bundle next to it.
 */

import {execFileSync} from 'node:child_process';
import {copyFileSync, readdirSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';

const UNDICI_CORE_PATH = 'scripts/undici_core.mjs';
const LAUNCHER_PATH = 'target/cassiaknot.cjs';
/** Must be the same as in `deploy/system.toml`, or V8 rejects the code cache. */
const NODE_FLAGS = ['--max-old-space-size=160'];

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map(name => [
    `@cassiaknot/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

/** Replaces the index of undici by the modules that the daemon uses. */
const undiciCore = {
  name: 'undici-core',
  setup({onResolve}) {
    onResolve({filter: /^undici$/}, () => ({path: resolve(UNDICI_CORE_PATH)}));
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
  plugins: [undiciCore],
  logLevel: 'warning',
});
copyFileSync('scripts/launcher.cjs', LAUNCHER_PATH);
// V8 rejects a code cache that was written under other flags.
execFileSync(process.execPath, [...NODE_FLAGS, LAUNCHER_PATH, '--write-cache']);
