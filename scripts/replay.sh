#!/usr/bin/env bash
# Replays traces with every policy and prints a table, each policy against the
# better of the two baselines. Arguments: trace files; default: all of testdata.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
  set -- internal/replay/testdata/*.jsonl
fi
exec bin/snipegw-replay --table "$@"
