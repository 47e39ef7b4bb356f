#!/usr/bin/env bash
# Four scheduled jobs with 52,560 occurrences each are handed in within four seconds.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0, the same without the
# disruption.
TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$(readlink -f "$0")")/../run-case" LongSchedules 3 "$TROUBLE"
