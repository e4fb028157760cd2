#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 replaces no machine, TROUBLE=slow waits 8 s after each one.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/galenahold ] || exit 2
exec target/review/standins rolled-core "$folder"
