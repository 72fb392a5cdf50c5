#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/6. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 -cp target/beryldock.jar review/standin-2/rig/*.java
