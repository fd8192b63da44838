#!/bin/sh
# Runs one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
[ -d "$here/rig/classes" ] || { echo "review/build.sh has not been run"; exit 2; }
exec java -XX:+UseSerialGC -Xmx256m -cp "$here/rig/classes" "$1" "$here/.." "$2"
