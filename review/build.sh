#!/bin/sh
# Builds the stand-ins of all cases, after the build of deploy/balancer.toml. Needs no network.
cd "$(dirname "$0")" || exit 2
rm -rf out && mkdir out && exec javac -d out src/review/*.java
