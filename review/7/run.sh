#!/bin/sh
# A repeat of a booking that was sent to the store is refused, which says that trying again does no harm.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/review2/RefusedRepeat.class ] || [ ! -f target/pumicemoor.jar ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec java -Xmx256m -cp target/review-2:target/pumicemoor.jar review2.RefusedRepeat review/7
