#!/usr/bin/env bash
# Starts stand-ins, two entries and three agents as separate processes on
# loopback, runs a gang job, requests and a configuration patch, and stops all.
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/snipegw-proof --bin bin --demo "$@"
