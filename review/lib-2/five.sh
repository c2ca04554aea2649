#!/usr/bin/env bash
# Runs a case five times with the disruption and once without it, and prints how each ended: review/five.sh 4
cd "$(dirname "$0")/../.."
TROUBLE=0 bash "review/$1/run.sh" >/dev/null 2>&1
echo "case $1 without the disruption: exit $?"
for run in 1 2 3 4 5; do
  bash "review/$1/run.sh" >/dev/null 2>&1
  echo "case $1 run $run: exit $?; $(tail -1 "review/$1/record.txt")"
done
