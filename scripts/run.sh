#!/usr/bin/env bash
# Runs a demonstration: starts the processes of a directory of settings files on
# loopback (entries, agents, and stand-ins for the store, the workers and the
# backend servers), runs a gang job, requests and a configuration patch, prints
# the result of each, and stops all processes with SIGTERM. Exits with 0 only if
# every step had the expected result. Needs the programs in bin (make build).
# Usage: scripts/run.sh [DIRECTORY]; the default is examples/loads.
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/snipegw-proof --bin bin --demo --examples "${1:-examples/loads}"
