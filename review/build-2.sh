#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start besides those of the deploy file: one for each case with a script, with
# the project's stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/retire ./review/src-2/retire/main.go
