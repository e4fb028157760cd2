#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the replacement and the lost disks, TROUBLE=replace only the
# lost disks, TROUBLE=wipe only the replacement. TROUBLE=crash replaces a machine that has crashed.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/galenahold ] || exit 2
exec target/review/standins replaced-core "$folder"
