#!/bin/sh
# Builds every stand-in of the cases 6 to 10, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
test -f target/pumicemoor.jar || { echo "build the project first, with the build line of deploy/balancer.toml" >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -nowarn -cp target/pumicemoor.jar -d target/review-2 review/rig-2/src/review2/*.java
