#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/src/reviewcase.go ./review/src/record.go ./review/src/retire.go ./review/src/extra.go ./review/src/first.go ./review/src/chain.go ./review/src/tolerate.go
