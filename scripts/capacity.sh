#!/usr/bin/env bash
# Starts three keepers, a planner and an entry host, measures their slopes with
# small stand-ins and brings docs/CAPACITY.md up to date. Ends by itself.
set -eu
cd "$(dirname "$0")/.."
run=run/capacity
rm -rf "$run"
mkdir -p "$run/log"
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true' EXIT
trap "exit 1" INT TERM
bin/moorspool-standin settings --profile kilima --examples examples/kilima --folder "$run"
for zone in dar-a dar-b dar-c; do
  bin/moorspool-keeper -c "$run/keeper-$zone.yaml" --found >"$run/log/keeper-$zone.out" 2>&1 &
  pids+=($!)
done
bin/moorspool-planner -c "$run/planner-dar-a.yaml" >"$run/log/planner.out" 2>&1 &
pids+=($!)
bin/moorspool-entry -c "$run/entry-dar-a-1.yaml" >"$run/log/entry.out" 2>&1 &
pids+=($!)
sleep 4
bin/moorspool-standin capacity
