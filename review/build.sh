#!/bin/sh
# Builds the stand-ins of the cases. It needs Go and the modules that the project declares, and no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && exec go build -buildvcs=false -o review/bin/reviewkit ./review/_src
