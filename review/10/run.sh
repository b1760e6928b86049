#!/bin/sh
# Runs the case after the builds of the deploy file and of review/build-2.sh. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the same
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=target/review-2/release/review-stand-ins-2
program=target/release/cassiacross-platform
[ -x "$stand_ins" ] && [ -x "$program" ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then trouble=calm; else trouble=trouble; fi
exec "$stand_ins" reset-number "$trouble" "$program" review/10/record.txt
