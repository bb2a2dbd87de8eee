#!/usr/bin/env bash
# Builds the stand-ins and the drivers that the scripts of the cases start. They are a module of their
# own and use the standard library only. The project's programs come from deploy/system.toml's build.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/review/rig .
