#!/usr/bin/env bash
# Runs one user's installation as separate processes on loopback addresses, generates load,
# injects faults, prints a table of results and exits.
# Usage: scripts/demo.sh PROFILE
set -eu
profile=${1:-kilima}
cd "$(dirname "$0")/.."
run=run/$profile
rm -rf "$run"
mkdir -p "$run/log"
declare -A pid

start() { # start NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$run/log/$name.out" 2>&1 &
  pid[$name]=$!
}
stop_all() {
  for name in "${!pid[@]}"; do kill -9 "${pid[$name]}" 2>/dev/null || true; done
}
trap stop_all EXIT
trap "exit 1" INT TERM
say() { printf '%5.1fs  %s\n' "$(echo "$(date +%s%N) $began" | awk '{print ($1-$2)/1e9}')" "$*"; }
setting() { awk -v key="$2:" '$1 == key {print $2; exit}' "$run/$1.yaml"; }
control() { setting "$1" control; }
prefix() { control "$1" | cut -d. -f1-3; }

began=$(date +%s%N)
bin/moorspool-emulator settings --profile "$profile" --examples "examples/$profile" --folder "$run"
for file in "$run"/outside-*.yaml "$run"/emulator-*.yaml; do
  name=$(basename "$file" .yaml)
  start "$name" bin/moorspool-emulator run "$file"
done
control_nodes=()
for file in "$run"/control-*.yaml; do
  name=$(basename "$file" .yaml)
  start "$name" bin/moorspool-control -c "$file" --found
  control_nodes+=("$(setting "$name" admin)")
done
MOORSPOOL_CONTROL_NODES=$(IFS=,; echo "${control_nodes[*]}")
export MOORSPOOL_CONTROL_NODES
zones=()
for file in "$run"/planner-*.yaml; do
  name=$(basename "$file" .yaml)
  zones+=("${name#planner-}")
  start "$name" bin/moorspool-planner -c "$file"
done
for file in "$run"/gateway-*.yaml; do
  name=$(basename "$file" .yaml)
  start "$name" bin/moorspool-gateway -c "$file"
done
say "started ${#pid[@]} processes of $profile"

for _ in {1..50}; do bin/moorspool status >/dev/null 2>&1 && break || sleep 0.2; done
bin/moorspool apply -f "examples/$profile" --by demo
say "configuration applied"
bin/moorspool-emulator load "$run/load.yaml" >"$run/table.txt" 2>&1 &
load=$!
sleep 10
say "load is running; faults begin"

first=${zones[0]} second=${zones[1]} third=${zones[2]}
kill -9 "${pid[control-$first]}"
say "killed control-$first"
kill -9 "${pid[planner-$third]}"
start "planner-$third" bin/moorspool-planner -c "$run/planner-$third.yaml"
say "killed planner-$third and started another"
sleep 4
start "control-$first" bin/moorspool-control -c "$run/control-$first.yaml" --found
say "started control-$first again"
sleep 2

change=$run/change
mkdir -p "$change"
cat >"$change/label.yaml" <<YAML
kind: label
name: demo-latest
pointsTo: $(awk '$1 == "name:" {print $2; exit}' "examples/$profile/models.yaml")
YAML
bin/moorspool apply -f "$change" --wait --by demo | tee "$run/force.txt"
say "a configuration change landed"

host=$(awk '$1 == "host:" {print $2; exit}' "$(ls "$run"/emulator-*"$second"-1.yaml | head -1)")
leaving=$(ls "$run"/emulator-*"$second"-1.yaml | grep -v -e field-desk -e claimledger | head -1)
host=$(basename "$leaving" .yaml)
host=${host#emulator-}
bin/moorspool-emulator post "http://$(setting "emulator-$host" listen)/emulator/fault" '{"leaving":true}'
bin/moorspool-emulator post "http://$(setting outside-platform listen)/emulator/leave?host=$host" '{}'
say "backend server host $host is leaving"
sleep 5

others=("$(prefix "planner-$first")." "$(prefix "planner-$second").")
for name in "${!pid[@]}"; do
  case $name in
    control-$third | planner-$third | gateway-$third-*)
      bin/moorspool cut --address "$(control "$name")" "${others[@]}" ;;
    control-* | planner-* | gateway-*)
      bin/moorspool cut --address "$(control "$name")" "$(prefix "planner-$third")." ;;
  esac
done
say "availability zone $third is cut off"
sleep 8
for name in "${!pid[@]}"; do
  case $name in
    control-* | planner-* | gateway-*) bin/moorspool cut --address "$(control "$name")" ;;
  esac
done
say "availability zone $third is back"
sleep 4

kill -TERM "${pid[gateway-$first-1]}"
say "gateway-$first-1 was told to stop with streams in flight"
set +e
wait "${pid[gateway-$first-1]}"
stopped=$?
set -e
say "gateway-$first-1 has stopped with exit code $stopped"
unset "pid[gateway-$first-1]"

status=0
wait "$load" || status=$?
say "load has ended"
bin/moorspool status || true
echo
cat "$run/table.txt"
force=$(awk '/in force in/ {print $NF}' "$run/force.txt")
printf '%-44s %s\n' "time until the change was in force" "$force"
if ! echo "$force" | awk '{ms = $1 ~ /ms$/; v = $1 + 0; exit !(ms || v < 4)}'; then
  echo "broken promise: the change took $force"
  status=1
fi
[ "$stopped" -eq 0 ] || status=1
exit $status
