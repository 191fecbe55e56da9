#!/usr/bin/env bash
# A balancer is restarted as planned while two targets have one cookie.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 restarts nothing;
# KEEP=1 keeps the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabideal ] && [ -x target/review/2 ] || exit 2
exec target/review/2
