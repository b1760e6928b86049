#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/release/review-cases
if [[ ! -x $driver || ! -x target/release/cassiacross-platform ]]; then
    echo "build the deploy file's programs and run review/build.sh first" >&2
    exit 2
fi
exec "$driver" moved-route review/4/record.txt
