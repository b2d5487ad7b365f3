#!/usr/bin/env bash
# Plays the trial that REPORT-2.md names; TROUBLE=0 leaves the disruption out. Exits with 0 if the rule held, 1 if it was broken
# and 2 if the case could not run. Writes to record.txt what was sent, answered and run.
set -uo pipefail
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd)
cd "$CASE_FOLDER/../../.."
. review/stand_ins_2/run_case.sh
run_case unfenced_replacement "$CASE_FOLDER/record.txt"
exit $?
