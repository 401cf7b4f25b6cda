#!/usr/bin/env bash
# Builds the program that plays the scripts' stand-ins and checks.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-harness .
