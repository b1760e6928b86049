#!/bin/sh
# Runs the case after the builds of the deploy file and of review/build-2.sh. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=target/review-2/release/review-stand-ins-2
program=target/release/cassiacross-platform
[ -x "$stand_ins" ] && [ -x "$program" ] || exit 2
exec "$stand_ins" reset-number "$program" review/10/record.txt
