#!/usr/bin/env bash
# Starts three control nodes, a planner and a gateway, measures with emulators how their use
# of resources grows, updates docs/CAPACITY.md and exits.
set -eu
cd "$(dirname "$0")/.."
run=run/capacity
rm -rf "$run"
mkdir -p "$run/log"
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true' EXIT
trap "exit 1" INT TERM
bin/moorspool-emulator settings --profile kilima --examples examples/kilima --folder "$run"
for zone in dar-a dar-b dar-c; do
  bin/moorspool-control -c "$run/control-$zone.yaml" --found >"$run/log/control-$zone.out" 2>&1 &
  pids+=($!)
done
bin/moorspool-planner -c "$run/planner-dar-a.yaml" >"$run/log/planner.out" 2>&1 &
pids+=($!)
bin/moorspool-gateway -c "$run/gateway-dar-a-1.yaml" >"$run/log/gateway.out" 2>&1 &
pids+=($!)
sleep 4
bin/moorspool-emulator capacity
