#!/bin/sh
# Plays one case: run.sh CLASS FOLDER. Exit code 1: the rule was broken, 0: it held, 2: not run.
FOLDER=$(cd "$2" && pwd) || exit 2
ROOT=$(cd "$FOLDER/../.." && pwd) || exit 2
RECORD=$FOLDER/record.txt
WORK=$(mktemp -d) || exit 2
export ROOT RECORD WORK
if [ ! -f "$ROOT/review/src-2/target/$1.class" ] || [ ! -f "$ROOT/cli/target/milletyoke.jar" ]; then
  echo "build the program and run review/build-2.sh first" >&2
  rm -rf "$WORK"
  exit 2
fi
java -Xmx256m -cp "$ROOT/review/src-2/target" "$1"
RESULT=$?
rm -rf "$WORK"
case $RESULT in 0|1) exit $RESULT ;; *) exit 2 ;; esac
