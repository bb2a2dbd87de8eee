#!/usr/bin/env bash
# Builds the programs, runs the benchmarks and prints their results as tables.
# Arguments are passed to the benchmark program, for example:
# scripts/bench.sh --only routing
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
go run ./internal/bench --bin bin "$@"
