#!/usr/bin/env bash
# Checks every stand-in and case; they are plain scripts and need no build.
# Run it after the build of the deploy file, whose Node.js runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.cjs review/*/case.cjs; do
  target/node --check "$file"
done
