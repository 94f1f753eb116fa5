#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start. The router comes from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[0-9]; do
  if [ -e "$folder/main.go" ]; then
    go build -o "target/review/$(basename "$folder")" "./$folder"
  fi
done
