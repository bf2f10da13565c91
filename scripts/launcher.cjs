'use strict';

/**
 * Starts the bundled daemon with the V8 code cache that the build has written.
 * The cache shortens restarts, during which requests go unserved: compiling the
 * bundle is a quarter of the CPU time of a start. V8 ignores a code cache that does
 * not match its version and flags. With `--write-cache`, writes the code cache and
 * exits.
 */

const fs = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const BUNDLE_PATH = path.join(__dirname, 'daemon.cjs');
const CACHE_PATH = path.join(__dirname, 'daemon.cache');
const WRITE_CACHE_FLAG = '--write-cache';

/** Runs the bundle; returns its exports and the script that yields the code cache. */
function loadBundle(cachedData) {
  const source = wrap(fs.readFileSync(BUNDLE_PATH, 'utf8'));
  const script = new vm.Script(source, {filename: BUNDLE_PATH, cachedData});
  const bundleModule = {exports: {}};
  const runBundle = script.runInThisContext();
  runBundle(
    bundleModule.exports,
    require,
    bundleModule,
    BUNDLE_PATH,
    __dirname,
  );
  return {script, daemon: bundleModule.exports};
}

if (process.argv.includes(WRITE_CACHE_FLAG)) {
  fs.writeFileSync(CACHE_PATH, loadBundle().script.createCachedData());
} else {
  const hasCache = fs.existsSync(CACHE_PATH);
  const cachedData = hasCache ? fs.readFileSync(CACHE_PATH) : undefined;
  void loadBundle(cachedData).daemon.main();
}
