#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/coltsfoot-gateway ] || [ ! -x target/coltsfoot-steward ] || [ ! -x review/.standin ]; then
  echo "build the deploy file's programs and run review/build.sh first" >&2
  exit 2
fi
# timeout makes a process group of its own, in which all processes of the case are.
timeout -k 5 110 review/.standin 2 "$here/record.txt" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' INT TERM
wait "$pid"
rc=$?
kill -KILL -- "-$pid" 2>/dev/null
[ "$rc" -le 2 ] || rc=2
exit "$rc"
