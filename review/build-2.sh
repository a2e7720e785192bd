#!/bin/sh
# Builds the program that the scripts of review/6 to review/10 start: their stand-ins and their checks.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2/trial ./review/trial
