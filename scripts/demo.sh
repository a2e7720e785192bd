#!/usr/bin/env bash
# Runs a development cell on loopback and sends work through it.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
./bin/bulrushwinchd -dev 2>"$log" &
daemon=$!
trap 'kill "$daemon" 2>/dev/null || true; wait "$daemon" 2>/dev/null || true; rm -f "$log"' EXIT

caller() { BULRUSHWINCH_KEY=dev-caller-key ./bin/bulrushwinch "$@"; }
operator() { BULRUSHWINCH_KEY=dev-operator-key ./bin/bulrushwinch "$@"; }

ready=
for _ in $(seq 100); do
  if [ "$(operator status 2>/dev/null | grep -c 'active')" = 3 ]; then
    ready=yes
    break
  fi
  sleep 0.1
done
if [ -z "$ready" ]; then
  echo "the development cell did not become ready; its log:" >&2
  cat "$log" >&2
  exit 1
fi

echo "== A batch of spine labels"
caller submit -queue labels -class label-batch -tasks 6 -payload spines batch-17
caller wait -queue labels batch-17
echo "== A job whose tasks start together"
caller submit -queue labels -policy gang -class rebuild -tasks 5 -payload catalogue rebuild-4
caller wait -queue labels rebuild-4
echo "== A standing watch"
caller submit -queue labels -policy service -class returns -tasks 2 -payload service watch-1
sleep 1
caller get -queue labels watch-1
echo "== Why does the watch run where it does?"
caller explain -queue labels watch-1
caller cancel -queue labels watch-1
caller wait -queue labels watch-1 || true
echo "== What happened to batch-17"
operator timeline -request batch-17
