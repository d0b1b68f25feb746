#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/harness-2 -gateway target/waxwingpickd -record review/9/record.txt late-heartbeat
