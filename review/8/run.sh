#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
[ -x target/review-2/case ] || { echo "run review/build-2.sh first"; exit 2; }
# The case ends its processes itself; its process group is ended as well if the case is interrupted.
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
set -m
target/review-2/case refused review/8/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf -- "$TMPDIR"' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
