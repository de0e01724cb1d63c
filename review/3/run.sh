#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out; VERBOSE=1 prints the record as well.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 110 perl review/3/case.pl
