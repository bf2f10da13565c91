'use strict';

/**
 * Starts the bundled daemon from the bytecode that the build has kept beside
 * it. A restart is paid for in unserved requests, and compiling the bundle is a
 * quarter of its processor time. The engine ignores bytecode that does not fit
 * it. With `--write-cache` it writes the bytecode and ends.
 */

const fs = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const BUNDLE_PATH = path.join(__dirname, 'daemon.cjs');
const CACHE_PATH = path.join(__dirname, 'daemon.cache');
const WRITE_CACHE_FLAG = '--write-cache';

/** Runs the bundle; returns its exports and the script to take bytecode of. */
function loadBundle(cachedData) {
  const source = wrap(fs.readFileSync(BUNDLE_PATH, 'utf8'));
  const script = new vm.Script(source, {filename: BUNDLE_PATH, cachedData});
  const bundle = {exports: {}};
  const run = script.runInThisContext();
  run(bundle.exports, require, bundle, BUNDLE_PATH, __dirname);
  return {script, daemon: bundle.exports};
}

if (process.argv.includes(WRITE_CACHE_FLAG)) {
  fs.writeFileSync(CACHE_PATH, loadBundle().script.createCachedData());
} else {
  const hasCache = fs.existsSync(CACHE_PATH);
  const cachedData = hasCache ? fs.readFileSync(CACHE_PATH) : undefined;
  void loadBundle(cachedData).daemon.main();
}
