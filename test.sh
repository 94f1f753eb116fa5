#!/usr/bin/env bash
# Runs everything that must hold before a change lands: formatter, vet, linter
# and all tests with the race detector, those with real processes (build tag
# process) included. Tests listed in KNOWN-RED.txt are run
# and printed, but do not decide the verdict.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi
go vet -tags process ./...
linter=$(go tool -C tools -n staticcheck)
"$linter" -tags process ./...

# Checks the order of locks where many of them meet.
go test -tags lockcheck -timeout 3m ./process/lock ./process/node ./process/admission ./process/configlog \
  ./process/ledger ./connection/peer ./lab/demo

# The first word of each entry that starts with "Test" is a test's name.
red=$({ grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null || true; } | sort -u | paste -sd'|' -)

# Plays of hundreds of routers in simulated time. They have one goroutine each and are left out with the race detector.
go test -timeout 4m ${red:+-skip "^($red)\$"} ./process/router

if [ -n "$red" ]; then
  go test -race -tags process -timeout 9m -skip "^($red)\$" ./...
  echo "Known red, not part of the verdict:"
  go test -tags process -timeout 5m -run "^($red)\$" ./... 2>&1 | grep -v 'no test' | tail -n 60 | sed 's|^|red: |' || true
else
  go test -race -tags process -timeout 9m ./...
fi
