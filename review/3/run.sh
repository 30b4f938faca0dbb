#!/usr/bin/env bash
# Plays the case "drain" against the programs that the deploy file built, and writes
# record.txt here. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
for program in "$root/review/bin/casehost" "$root/target/laburnum-entry" "$root/target/laburnum-agent"; do
  [ -x "$program" ] || { echo "could not run: $(basename "$program") is not built"; exit 2; }
done
TROUBLE=${TROUBLE:-1} CASE_ROOT=$root exec "$root/review/bin/casehost" drain "$here"
