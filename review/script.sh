#!/usr/bin/env bash
# Runs the driver of one case: script.sh FOLDER NAME. Exit codes: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
for program in target/snipegw-entry target/snipegw-agent target/review/rig; do
  [ -x "$root/$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$root/target/review/rig" case --name "$2" --root "$root" --record "$folder/record.txt" --trouble="$trouble"
