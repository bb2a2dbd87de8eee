#!/usr/bin/env bash
# Replays traces with every policy and prints a table that compares each policy
# with the better of the two baselines. Arguments are trace files; without any,
# all recorded traces in internal/replay/testdata are replayed. Needs the programs
# in bin (make build).
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
  set -- internal/replay/testdata/*.jsonl
fi
exec bin/snipegw-replay --table "$@"
