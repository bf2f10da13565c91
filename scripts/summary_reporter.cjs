'use strict';

/**
 * Mocha's spec reporter with a summary line `N passed, N failed`. Failures of tests
 * that KNOWN-RED.txt lists are printed again as `known red: TITLE`, but count
 * neither in the summary nor in the exit status.
 */

const fs = require('node:fs');
const path = require('node:path');
const Mocha = require('mocha');

const KNOWN_RED_FILE = path.join(__dirname, '..', 'KNOWN-RED.txt');

/** Reads the full titles of the known failing tests from lines `test: TITLE`. */
function readKnownRed() {
  if (!fs.existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = fs.readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const titles = lines
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
  return new Set(titles);
}

/** Prints the results as the spec reporter does, then the summary line. */
class SummaryReporter extends Mocha.reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    this.knownRedTitles = readKnownRed();
    this.knownFailures = [];
    runner.on('fail', test => {
      const title = test.fullTitle();
      if (this.knownRedTitles.has(title)) this.knownFailures.push(title);
    });
  }

  done(failures, finish) {
    const knownFailureCount = this.knownFailures.length;
    for (const title of this.knownFailures) {
      console.log(`known red: ${title}`);
    }
    const {passes = 0, pending = 0} = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    console.log(
      `${passes} passed, ${failures - knownFailureCount} failed${skipped}`,
    );
    finish(failures - knownFailureCount);
  }
}

module.exports = SummaryReporter;
