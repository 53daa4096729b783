#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/TraceCase.class ] && [ -f target/basilrill.jar ] || exit 2
timeout -k 5 110 java -Xmx128m -cp target/review-3 TraceCase review/13/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
