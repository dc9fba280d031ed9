#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/standins-2/target/release/standins-2 recovery review/9/record.txt
