#!/usr/bin/env bash
# Runs all checks, as CI does: gofmt, vet, staticcheck, build, and tests with -race.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l $(git ls-files --cached --others --exclude-standard --deduplicate '*.go' | while read -r f; do [ -f "$f" ] && echo "$f"; done))
if [ -n "$unformatted" ]; then
  printf 'files not formatted with gofmt:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck)
./bin/staticcheck ./...
go build -o bin/ ./cmd/...

# Tests whose name begins a line of KNOWN-RED.txt are skipped; all others must pass. Entries that
# do not begin with the name of a test skip none.
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known failures (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  names=$({ grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt || true; } | paste -sd'|' -)
  if [ -n "$names" ]; then
    skip=(-skip "^($names)\$")
  fi
fi
go test -race -count=1 -timeout 280s "${skip[@]}" ./...
