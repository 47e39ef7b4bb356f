#!/usr/bin/env bash
# During an outage of the store, 514 subtasks of one executor end. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$(readlink -f "$0")")/../run-case" EndsBeyondOneAnswer 4
