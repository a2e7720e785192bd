#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases in review/11 to review/15. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/rig
