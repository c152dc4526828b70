#!/usr/bin/env bash
# Installs the dependencies if they are missing, then runs the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x node_modules/.bin/tsx ] || npm ci --no-audit --no-fund
exec npx --no-install node --require tsx/cjs scripts/demo.ts "$@"
