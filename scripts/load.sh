#!/usr/bin/env bash
# Loads kilima's installation with 0.5, 0.8, 1.0 and 1.5 times the capacity of its engines,
# with moorspool's routing and with two baselines.
set -eu
cd "$(dirname "$0")/.."
run=run/load
rm -rf "$run"
mkdir -p "$run"
pids=()
stop_all() {
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}
trap stop_all EXIT
trap "exit 1" INT TERM
export MOORSPOOL_CONTROL_NODES=127.0.1.20:7101,127.0.2.20:7101,127.0.3.20:7101

for mode in ${MODES:-cost round-robin least-reported}; do
  dir=$run/$mode
  mkdir -p "$dir/log"
  bin/moorspool-emulator settings --profile kilima --examples examples/kilima --folder "$dir" --routing "$mode"
  for file in "$dir"/outside-*.yaml "$dir"/emulator-*.yaml; do
    bin/moorspool-emulator run "$file" >"$dir/log/$(basename "$file").out" 2>&1 &
    pids+=($!)
  done
  for role in control planner gateway; do
    for file in "$dir"/$role-*.yaml; do
      found=()
      [ $role = control ] && found=(--found)
      bin/moorspool-$role -c "$file" "${found[@]}" >"$dir/log/$(basename "$file").out" 2>&1 &
      pids+=($!)
    done
  done
  for _ in {1..50}; do bin/moorspool status >/dev/null 2>&1 && break || sleep 0.2; done
  bin/moorspool apply -f examples/kilima --by load >/dev/null
  bin/moorspool-emulator sweep --name "$mode" --csv "$run/sweep.csv" "$dir/load.yaml"
  stop_all
done
