#!/usr/bin/env bash
# Prints the benchmark results ("slopes": cost per unit) from which docs/CAPACITY.md is
# calculated. Run it on an idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
run() { go test -run '^$' -bench "$2" -benchtime "$3" "$1" | grep -E '^Benchmark'; }

echo "== control goroutine: polls, starts, ticks, start of a leadership"
run ./control 'Poll|Start|Tick|Lead' 5x
echo "== scheduler"
run ./sched 'Churn|Idle' 100x
run ./sched Memory 1x
echo "== replicated state: heap, snapshot, restore"
run ./state 'Heap|Snapshot|Restore' 3x
echo "== log on disk and commits of three replicas"
run ./wal 'Append|Open' 100x
run ./replica Commit 2000x
echo "== forwarded calls and polls, processor time of both ends"
run ./peer Forward 20000x
run ./client NodePoll 5000x
echo "== allowances"
run ./allowance Round 20x
