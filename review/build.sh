#!/usr/bin/env bash
# Builds the stand-ins of the cases; the deploy file's build has to have run before.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -cp target/beryldock.jar -d target/review $(find review -name '*.java')
