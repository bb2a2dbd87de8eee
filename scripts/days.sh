#!/usr/bin/env bash
# Plays the days of deploy/days on deployments of the users' bench:
#   scripts/days.sh BENCH SITE... [-- DAY...]
# BENCH is the bench program, each SITE a site file. DAY files replace those of deploy/days. SEEDS lists the seeds with
# which each day is played (default: 1). The output of a day that fails is kept.
# Prints a line for each play and exits with 1 if one breaks a rule, cannot be played although it fits the site, or shows
# that a process has contained a panic or has ended by one.
set -euo pipefail

usage() {
  echo "usage: scripts/days.sh BENCH SITE... [-- DAY...]" >&2
  exit 2
}
[ $# -ge 2 ] || usage
bench=$(realpath "$(command -v "$1")") || usage
shift
sites=() days=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do
  sites+=("$(realpath -e "$1")") || usage
  shift
done
[ ${#sites[@]} -gt 0 ] || usage
for day in "${@:2}"; do
  days+=("$(realpath -e "$day")") || usage
done
cd "$(dirname "$0")/.."
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)

# unfit matches the bench's messages about a day that asks for something that the site does not have.
unfit='contract [^ ]+ is not open|: no (class|kind|service|zone|machine)s? '
# The Go runtime begins the report of a crash with such a line; the bench puts the time and the machine before it.
crash='^ *-?[0-9.]+ +[^ ]+ +(panic: |fatal error: |goroutine [0-9]+ .*\[running)'

logs=$(mktemp -d)
failed=0
for site in "${sites[@]}"; do
  for day in "${days[@]}"; do
    for seed in ${SEEDS:-1}; do
      name="$(basename "$site" .toml) $(basename "$day" .toml) seed=$seed"
      log="$logs/${name// /.}.log" report="$logs/report.json"
      rm -f "$report"
      code=0
      "$bench" run "$site" "$day" --seed "$seed" --no-cpu --log all --report "$report" >"$log" 2>&1 || code=$?
      problems=()
      if [ ! -s "$report" ]; then
        message=$(grep -v '^note:' "$log" | tail -n 1)
        if grep -Eq "$unfit" <<<"$message"; then
          echo "$name: left out, it does not fit the site: $message"
          rm -f "$log"
          continue
        fi
        problems+=("not played: $message")
      elif ! grep -q '"breaks": {}' "$report"; then
        problems+=("$(grep -m1 '^rules broken: ' "$log" || echo 'the report lists broken rules')")
      elif [ $code -ne 0 ]; then
        problems+=("exit code $code")
      fi
      panics=$(grep -Ec ' event=panic_recovered |http: panic serving ' "$log" || true)
      scopes=$(sed -nE 's/.* event=panic_recovered .* scope=("[^"]*"|[^ ]+) .*/\1/p' "$log" | sort -u | paste -sd, -)
      [ "$panics" -eq 0 ] || problems+=("$panics contained panics, scopes: $scopes")
      crashed=$(grep -Em1 "$crash" "$log" || true)
      [ -z "$crashed" ] || problems+=("a process has crashed: $crashed")
      if [ ${#problems[@]} -eq 0 ]; then
        echo "$name: ok"
        rm -f "$log"
        continue
      fi
      failed=1
      printf '%s: FAILED' "$name"
      printf '; %s' "${problems[@]}"
      printf '; output in %s\n' "$log"
    done
  done
done
rm -f "$logs/report.json"
rmdir "$logs" 2>/dev/null || true
exit $failed
