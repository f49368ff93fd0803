#!/bin/sh
# Shows claim.txt. TROUBLE=0 runs the same without the disruptions; POWER=0 leaves out the power
# loss alone. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oriolegw-edge ] && [ -x target/review-standin ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec timeout --preserve-status -k 5 118 target/review-standin -case lost-order -edge target/oriolegw-edge -record review/2/record.txt
