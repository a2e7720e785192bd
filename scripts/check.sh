#!/usr/bin/env bash
# Runs gofmt, vet, staticcheck and, where the generators are installed, compares generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l $(git ls-files --cached --others --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  echo "not formatted with gofmt:" $unformatted >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
if command -v buf >/dev/null && command -v protoc-gen-go >/dev/null && command -v protoc-gen-connect-go >/dev/null; then
  tmp=$(mktemp -d)
  trap 'rm -rf "$tmp"' EXIT
  buf generate --output "$tmp"
  for f in $(cd "$tmp" && find . -name '*.go'); do
    cmp "$tmp/$f" "$f" || { echo "generated code is out of date: run make generate" >&2; exit 1; }
  done
fi
