#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../../target/node" "$folder/case.cjs"
