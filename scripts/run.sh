#!/usr/bin/env bash
# Starts the processes of a directory of settings files on loopback (store,
# workers and backend servers as stand-ins, entries, agents), runs a gang job,
# requests and a configuration patch, prints what became of each, and stops all
# with SIGTERM. Exits 0 only if all outcomes are as stated.
# Usage: scripts/run.sh [DIRECTORY], by default examples/loads.
set -euo pipefail
cd "$(dirname "$0")/.."
exec bin/snipegw-proof --bin bin --demo --examples "${1:-examples/loads}"
