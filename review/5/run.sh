#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
harness=$root/target/review-harness
if [ ! -x "$harness" ] || [ ! -x "$root/target/lentilwinch-poold" ]; then
  echo 'run the build of deploy/system.toml and review/build.sh first' >&2
  exit 2
fi
exec "$harness" overflow "$root" "$folder"
