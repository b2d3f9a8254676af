#!/bin/bash
# The holder of a zone is cut off, and the store lacks one of its minions; its successor starts a task that still runs there.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/jackdawring ] || [ ! -f target/review-3/review3/CutOffHolder.class ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-3.sh"
    exit 2
fi
exec java -Xmx256m -cp target/review-3 review3.CutOffHolder review/13
