#!/usr/bin/env bash
# During an outage of the store, 514 subtasks of one executor end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0, the same without the
# disruption.
TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$(readlink -f "$0")")/../run-case" EndsBeyondOneAnswer 4 "$TROUBLE"
