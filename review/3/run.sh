#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 5 115 /usr/bin/python3 -B case.py
code=$?
[ $code -le 1 ] && exit $code
exit 2
