#!/usr/bin/env bash
# Builds the program with the scripts and stand-ins of the third review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 review/src-3/*.go
