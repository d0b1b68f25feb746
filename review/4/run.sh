#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness garble review/4
