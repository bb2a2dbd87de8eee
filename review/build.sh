#!/usr/bin/env bash
# Builds the stand-ins and the drivers that the scripts of the cases start. They use the standard
# library only. The project's own programs come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../../target/review/rig .
