#!/usr/bin/env bash
# Formatter, vet, linter and all tests with the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race -timeout 280s ./...
