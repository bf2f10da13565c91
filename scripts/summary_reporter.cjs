'use strict';

/**
 * Mocha's spec reporter with a closing line `N passed, N failed`, and with the
 * entries of KNOWN-RED.txt passed over in the exit status but printed.
 */

const fs = require('node:fs');
const path = require('node:path');
const Mocha = require('mocha');

const KNOWN_RED_FILE = path.join(__dirname, '..', 'KNOWN-RED.txt');

/** Reads the full titles of the tests that are known to fail. */
function readKnownRed() {
  if (!fs.existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = fs.readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const titles = lines
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
  return new Set(titles);
}

/** Prints results as the spec reporter does, then the closing line. */
class SummaryReporter extends Mocha.reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    this.knownRed = readKnownRed();
    this.knownRedFailures = [];
    runner.on('fail', test => {
      const title = test.fullTitle();
      if (this.knownRed.has(title)) this.knownRedFailures.push(title);
    });
  }

  done(failures, finish) {
    const known = this.knownRedFailures.length;
    for (const title of this.knownRedFailures) {
      console.log(`known red: ${title}`);
    }
    const {passes = 0, pending = 0} = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    console.log(`${passes} passed, ${failures - known} failed${skipped}`);
    finish(failures - known);
  }
}

module.exports = SummaryReporter;
