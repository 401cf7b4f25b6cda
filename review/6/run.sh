#!/usr/bin/env bash
# Runs the case and writes record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness-2 ] && [ -x target/lentilwinch-poold ] || { echo "build first: the command of deploy/system.toml and review/build-2.sh"; exit 2; }
exec target/review-harness-2 restart-unseen review/6/record.txt
