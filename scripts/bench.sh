#!/usr/bin/env bash
# Prints the figures of the request path, routing and membership as tables.
# Arguments are passed on, for example: scripts/bench.sh --only routing
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
go run ./internal/bench --bin bin "$@"
