#!/bin/sh
# Discovery answers every call 0.9 s late while a target begins to drain.
cd "$(dirname "$0")/../.." || exit 2
[ -f cli/target/milletyoke.jar ] && [ -d review/out ] || { echo "build first" >&2; exit 2; }
java -cp review/out review.SlowDiscoveryCase review/3
status=$?
[ $status -le 2 ] || exit 2
exit $status
