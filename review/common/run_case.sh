#!/usr/bin/env bash
# run_case.sh CASE TROUBLE: plays review/CASE with real nodes. The scenario program of the case holds discovery, servers and
# clients; it writes a configuration for each node, and the nodes are started with the command of the deploy file.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE 0 leaves the disruption out.
set -uo pipefail
case=$1 trouble=$2
cd "$(dirname "$0")/../.."
scenario=build-review/case_$case
run_command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -x "$scenario" ] && [ -x build/thymewood ] && [ -n "$run_command" ] || { echo "not built" >&2; exit 2; }

scratch=$(mktemp -d) || exit 2
node_pids=()
scenario_pid=
cleanup() {
  exec 2>/dev/null  # the shell reports each process that it ends
  [ -z "$scenario_pid" ] || kill -TERM "$scenario_pid"  # timeout passes it on to the scenario program
  for pid in "${node_pids[@]}"; do kill -KILL "$pid"; done
  wait
  rm -rf "$scratch"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

timeout -k 1 110 "$scenario" "$scratch" "review/$case/record.txt" "$trouble" &
scenario_pid=$!
for _ in $(seq 100); do
  [ -e "$scratch/ready" ] && break
  kill -0 "$scenario_pid" 2>/dev/null || exit 2
  sleep 0.1
done
[ -e "$scratch/ready" ] || exit 2
for config in "$scratch"/node-*.json; do
  number=${config##*node-}
  number=${number%.json}
  mkdir "$scratch/tmp-$number"
  TMPDIR="$scratch/tmp-$number" RELAY_NAME="n$number" RELAY_CONFIG="$config" \
    sh -c "$run_command" 2>"$scratch/log-$number" &
  node_pids+=($!)
  echo $! >"$scratch/process-$number"
done

wait "$scenario_pid"
status=$?
scenario_pid=
for pid in "${node_pids[@]}"; do
  [ "$status" != 0 ] || kill -0 "$pid" 2>/dev/null || { echo "a node has ended" >&2; status=2; }
done
[ -z "${KEEP_LOGS:-}" ] || cp "$scratch"/log-* "$KEEP_LOGS"/
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
