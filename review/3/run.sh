#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
result=0
timeout -s KILL 110 review/bin/case-3 review/3 || result=$?
[ $result -le 1 ] || result=2
exit $result
