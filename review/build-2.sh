#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target
cd review/harness-2
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -trimpath -o "$root/target/review-harness-2" .
