#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: no disruption.
exec "$(dirname "$(readlink -f "$0")")/../stand-ins-2/run-case" review/10 LargeJob
