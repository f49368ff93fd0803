#!/bin/sh
# Plays the case of this folder against the built program, and writes record.txt. Exit code: 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oriolegw-edge ] && [ -x target/second-review-case ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/second-review-case route-and-back review/8/record.txt
