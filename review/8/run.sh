#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
[ -x target/review-2/case ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/case refused review/8/record.txt
