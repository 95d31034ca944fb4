#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Writes what was sent, answered and run to record.txt in this folder.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
record="$here/record.txt"
: > "$record" || exit 2
python3 -B "$here/case.py" "$record" &
case_pid=$!
trap 'kill -TERM "$case_pid" 2>/dev/null' TERM INT HUP
wait "$case_pid"
code=$?
while kill -0 "$case_pid" 2>/dev/null; do
  wait "$case_pid"
  code=$?
done
# Python itself exits with 1 on an error, so a broken rule has a code of its own.
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
