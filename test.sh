#!/usr/bin/env bash
# The whole check, as CI runs it: format, vet, staticcheck, build, tests with -race.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l $(git ls-files --cached --others --exclude-standard --deduplicate '*.go' | while read -r f; do [ -f "$f" ] && echo "$f"; done))
if [ -n "$unformatted" ]; then
  printf 'not gofmt-clean:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck)
./bin/staticcheck ./...
go build -o bin/ ./cmd/...

# Tests named first on a line of KNOWN-RED.txt may fail; everything else must pass. Entries that
# begin with a command skip no test.
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red:"
  cat KNOWN-RED.txt
  names=$({ grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt || true; } | paste -sd'|' -)
  if [ -n "$names" ]; then
    skip=(-skip "^($names)\$")
  fi
fi
go test -race -count=1 -timeout 280s "${skip[@]}" ./...
