/** Bundles the daemon for the platform's machines into one file. */

import {readdirSync} from 'node:fs';
import {build} from 'esbuild';

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map(name => [
    `@cassiaknot/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/cassiaknot.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  alias,
  // Libraries in CommonJS call `require` at run time.
  banner: {
    js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
