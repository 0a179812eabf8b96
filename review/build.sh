#!/bin/sh
# Compiles the stand-ins and the cases' programs with the JDK alone, into review/target.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac --release 17 -d review/target/classes review/standin/*.java review/[0-9]/*.java
