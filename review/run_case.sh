#!/usr/bin/env bash
# Plays the case in the folder that is given, after the build of the deploy file and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 timeout --kill-after=5 115 python3 -m "review.$1.case"
code=$?
if [ "$code" -gt 1 ]; then exit 2; fi
exit "$code"
