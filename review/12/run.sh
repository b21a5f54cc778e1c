#!/bin/sh
# Plays the case once, after the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/catkin-entry ] && [ -x target/review/stand-3 ] || exit 2
exec target/review/stand-3 rolling-lost review/12
