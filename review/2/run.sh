#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
exec target/review-drive flood "$dir"
