#!/usr/bin/env bash
# Runs the program of a case: run_case.sh FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case could
# not run. With TROUBLE=0 the program does the same without the disruption.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/build-review-2/play_$(basename "$folder")
CASE_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
CASE_TMP=$(mktemp -d) || exit 2
export CASE_RUN CASE_TMP CASE_ROOT=$root CASE_RECORD=$folder/record.txt TROUBLE=${TROUBLE:-1}

player=
finish() {
  [ -z "$player" ] || kill -KILL "$player" 2>/dev/null  # the nodes that it started end with it
  rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM

if [ ! -x "$program" ] || [ -z "$CASE_RUN" ]; then
  echo "run_case.sh: no $program; run the build of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
"$program" &
player=$!
wait "$player"
status=$?
player=
[ "$status" -le 1 ] || status=2
exit "$status"
