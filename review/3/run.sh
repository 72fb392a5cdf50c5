#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec java -cp target/review:target/beryldock.jar review.Case3 "$folder"
