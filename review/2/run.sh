#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness crash-of-unframed-stream review/2
