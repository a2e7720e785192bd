#!/usr/bin/env bash
# Starts a small deployment on loopback and brings about the disruption that claim.txt names, unless TROUBLE=0. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/review-3/rig ] && [ -x target/bulrushwinchd ] || { echo "build first" >&2; exit 2; }
exec target/review-3/rig -case rename -record "review/12/record.txt"
