#!/bin/sh
# One of nine targets hangs while clients write.
cd "$(dirname "$0")/../.." || exit 2
[ -f cli/target/milletyoke.jar ] && [ -d review/out ] || { echo "build first" >&2; exit 2; }
# TROUBLE=0 plays the same without the disruption; Run.java reads it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
java -cp review/out review.MemoryCase review/2
status=$?
[ $status -le 2 ] || exit 2
exit $status
