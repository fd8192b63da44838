#!/bin/sh
# Bad clients that take their requests back at once hold up the router's loop; usual requests are not answered.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/review2/WithdrawnAtOnce.class ] || [ ! -f target/pumicemoor.jar ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec java -Xmx256m -cp target/review-2:target/pumicemoor.jar review2.WithdrawnAtOnce review/6
