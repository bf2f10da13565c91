#!/usr/bin/env bash
# The stand-ins in review/lib are plain modules of Node.js and need no build;
# this checks that each of them parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
