#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
TROUBLE=${TROUBLE:-1}
LAVENDERD=${LAVENDERD:-$(cd ../.. && pwd)/target/packages/daemon/lavenderd}
export TROUBLE LAVENDERD
[ -x "$LAVENDERD" ] && [ -x ../bin-2/case-8 ] || exit 2
exec timeout -k 5 115 ../bin-2/case-8 .
