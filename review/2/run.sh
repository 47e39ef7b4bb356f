#!/usr/bin/env bash
# A job with a gang of 300 subtasks is cancelled while it runs.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0, the same without the
# disruption.
TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$(readlink -f "$0")")/../run-case" CancelledGang 2 "$TROUBLE"
