#!/usr/bin/env bash
# Runs the pinned Node.js runtime with the given arguments, after installing
# what is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
runtime=$("${npm_node_execpath:-node}" scripts/prepare.cjs)
exec "$runtime" "$@"
