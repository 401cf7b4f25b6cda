#!/usr/bin/env bash
# Applies a deployment's first ticket and runs two requests and a gang. The
# stand-in platform, the stand-in backend servers and four instances run as
# processes on 127.0.0.1. Prints each step and exits after the last one.
#
#   examples/demo.sh [willow|crossing]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-willow}
case "$deployment" in
  willow)
    platform=127.0.0.1:7400 port_prefix=745 servers=127.0.0.1:7420,127.0.0.1:7421,127.0.0.1:7422,127.0.0.1:7423
    domains=north-yard,river-yard,saw-hall,east-kiln
    short_request=(-workspace saw-bench -service moisture-check)
    unrepeatable_request=(-workspace seasoning -service stack-tally)
    gang=(-workspace bat-yards-grading -members 1 -accelerators 8 -adjacency worker -domain north-yard)
    ;;
  crossing)
    platform=127.0.0.1:7410 port_prefix=746 servers=127.0.0.1:7430,127.0.0.1:7431,127.0.0.1:7432,127.0.0.1:7433
    domains=bc-south-1,bc-south-2,bc-south-3,bc-south-4
    short_request=(-workspace field-triage -service fault-triage)
    unrepeatable_request=(-workspace rail-reports -service gate-arm-report)
    gang=(-workspace trends -members 2 -accelerators 8 -adjacency rack -domain bc-south-1)
    ;;
  *)
    echo "usage: examples/demo.sh [willow|crossing]" >&2
    exit 2
    ;;
esac

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

say() { printf '\n# %s\n' "$*"; }
cli() {
  printf '$ lentilwinch %s\n' "$*"
  "$work/lentilwinch" "$1" -server "$servers" "${@:2}"
  echo
}

say "Building the daemon, the command-line tool and the stand-ins"
go build -o "$work/" ./cmd/lentilwinch ./cmd/lentilwinchd ./cmd/standin-platform ./cmd/standin-backend

say "Starting six backend servers with 8 slots each, and the platform"
backends=""
instances='['
separator=''
for i in 0 1 2 3 4 5; do
  address="127.0.0.1:$port_prefix$i"
  backends="$backends${backends:+,}$address"
  instances="$instances$separator{\"id\":\"server-$i\",\"kind\":\"backend\",\"domain\":\"${domains%%,*}\",\"address\":\"$address\",\"slots\":8}"
  separator=','
done
printf '%s]\n' "$instances" >"$work/instances.json"
"$work/standin-backend" -listen "127.0.0.1:0" -addresses "$backends" >"$work/backend.log" 2>&1 &
pids+=($!)
"$work/standin-platform" -listen "$platform" -domains "$domains" -instances "$work/instances.json" >"$work/platform.log" 2>&1 &
pids+=($!)

say "Starting one instance for each failure domain"
for settings in examples/"$deployment"/*-1.json; do
  "$work/lentilwinch" check settings "$settings"
  "$work/lentilwinchd" -settings "$settings" >"$work/$(basename "$settings" .json).log" 2>&1 &
  pids+=($!)
done

say "Waiting until every failure domain has an owner"
# Counts the failure domains owned by ready instances. The status row of such an
# instance has 10 fields, and field 6 lists the failure domains.
owned() {
  for settings in examples/"$deployment"/*-1.json; do
    address=$(sed -n 's/.*"listen_address": "\(.*\)".*/\1/p' "$settings")
    "$work/lentilwinch" status -server "$address" 2>/dev/null | awk 'NR > 1 && NF == 10 { print $6 }'
  done | tr ',' '\n' | sort -u | wc -l
}
for _ in $(seq 100); do
  if [ "$(owned)" -ge 4 ]; then break; fi
  sleep 0.2
done

say "Applying change ticket 1 with the workspaces, guaranteed shapes and services"
cli apply "examples/$deployment/1.json"
sleep 1.5
cli status

say "Sending a short request to any instance"
cli request "${short_request[@]}" -id check-1 -body '{"run_ms":120,"answer":"checked"}'

say "A request that may not be repeated, sent twice under one ID: it runs once"
cli request "${unrepeatable_request[@]}" -id report-1 -body '{"run_ms":200,"answer":"recorded"}'
cli request "${unrepeatable_request[@]}" -id report-1 -body '{"run_ms":200,"answer":"recorded"}'
cli outcome "${unrepeatable_request[@]:0:2}" report-1

say "Submitting a gang on adjacent accelerators and waiting until it ends"
cli submit "${gang[@]}" -id long-1 -payload '{"run_ms":2500}' -wait

say "Printing the first lines of the state dump of one instance"
"$work/lentilwinch" dump -server "${servers%%,*}" >"$work/dump.json"
head -40 "$work/dump.json"

say "Done: every step succeeded"
