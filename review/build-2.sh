#!/bin/bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -buildvcs=false -o bin/review2 ./review/_src2
