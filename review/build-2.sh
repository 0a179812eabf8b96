#!/bin/sh
# Builds the stand-ins and the cases of the second review with the JDK alone.
set -e
cd "$(dirname "$0")"
mkdir -p standin-2/target
javac -nowarn -d standin-2/target standin-2/*.java
