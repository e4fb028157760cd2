#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out both disruptions, TROUBLE=crash and TROUBLE=leave play one alone.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/galenahold ] || exit 2
exec target/review/standins left-during-resume "$folder"
