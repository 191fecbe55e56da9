#!/usr/bin/env bash
# One core machine loses its disk, comes back, and loses its disk again.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 loses no disk. PAUSE=MS loses the disk again
# so long after the restart, whatever the logs say. KEEP=1 keeps the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabideal ] && [ -x target/review/4 ] || exit 2
exec target/review/4
