#!/bin/sh
# Builds the stand-ins and the cases of the review, with the JDK alone.
set -e
cd "$(dirname "$0")/rig"
rm -rf classes
javac -nowarn -d classes ./*.java
