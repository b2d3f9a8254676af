#!/bin/bash
# A zone is lost for good; its accepted jobs do not run for half a minute, though the other zone is idle.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/jackdawring ] || [ ! -f target/review-3/review3/LostZone.class ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-3.sh"
    exit 2
fi
exec java -Xmx256m -cp target/review-3 review3.LostZone review/14
