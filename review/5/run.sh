#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no spoilt answers.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD:$PWD/target/deps" timeout -k 5 110 python3 -m review.5.case
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
