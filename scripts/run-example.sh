#!/usr/bin/env bash
# Runs one example cell on loopback addresses, with stand-in upstreams, sends work of
# two teams through it and prints the answers. Usage: scripts/run-example.sh DIR, where
# DIR is examples/library/three or another example. All processes are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:?usage: scripts/run-example.sh examples/library/three}
go build -o bin/ ./cmd/...
work=$(mktemp -d)
cp "$dir"/*.ini "$dir"/cluster.secret "$dir"/operator.key "$work"
chmod 600 "$work"/*
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] && cp "$work"/*.log "$KEEP"
  rm -rf "$work"
}
trap cleanup EXIT

address=$(sed -n 's/^public = //p' "$work/vm1.ini")
all=$(sed -n 's/^public = //p' "$work"/vm*.ini | paste -sd,)
for ini in "$work"/vm*.ini; do
  name=$(basename "$ini" .ini)
  first=
  [ "$name" = vm1 ] && first=-bootstrap
  ./bin/bulrushwinchd -config "$ini" $first 2>"$work/$name.log" &
  pids+=($!)
done

tool() { BULRUSHWINCH_ADDRESS=$all ./bin/bulrushwinch "$@"; }
operator() { BULRUSHWINCH_ADDRESS=$address ./bin/bulrushwinch "$1" -key-file "$work/operator.key" "${@:2}"; }

# finish waits for a job; if that fails, it prints the explanation and the newest events.
finish() {
  tool wait -timeout 60s "$@" 2>"$work/progress" || {
    cat "$work/progress" >&2
    tool explain "$@" >&2
    operator timeline -newest 60 >&2
    exit 1
  }
}

ready=
for _ in $(seq 300); do
  if operator status >/dev/null 2>&1; then ready=yes; break; fi
  sleep 0.1
done
if [ -z "$ready" ]; then
  echo "the cell did not become ready; the log of vm1:" >&2
  cat "$work/vm1.log" >&2
  exit 1
fi

echo "== Teams, queues, failure domains and keys"
. "$(dirname "$dir")/setup.sh"
operator key -operation k1 -team "$first_team" -out "$work/first.key" grant first-caller
operator key -operation k2 -team "$second_team" -out "$work/second.key" grant second-caller
operator key -operation k3 -role upstream -out "$work/upstream.key" grant upstreams
./bin/bulrushwinchd -standin -address "$all" -key-file "$work/upstream.key" -count 6 -domains "$domains" 2>"$work/standin.log" &
pids+=($!)

echo "== Work of two teams"
tool submit -key-file "$work/first.key" -queue "$first_queue" -tasks 4 -payload urgent -urgent desk-1
tool submit -key-file "$work/second.key" -queue "$second_queue" -policy gang -tasks 6 -payload together night-1
finish -key-file "$work/first.key" -queue "$first_queue" desk-1
finish -key-file "$work/second.key" -queue "$second_queue" night-1

echo "== A key of another team is refused"
tool submit -key-file "$work/second.key" -queue "$first_queue" stolen-1 || echo "exit $?"

echo "== The revision in force at every process"
for _ in $(seq 100); do
  if ! operator status | grep -q "ready false"; then break; fi
  sleep 0.1
done
operator status | grep -E '^(revision|replica|process)'
