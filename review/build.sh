#!/bin/sh
# Builds the programs that the scripts of the cases start beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
exec go build -o target/review/ ./review/harness
