#!/usr/bin/env bash
# Regenerates gen/ from proto/. Needs protoc (Debian: protobuf-compiler).
# The result is committed; no build or test runs this script. The checksums
# that it writes let CI tell without a generator that gen/ is current.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=(proto/lentilwinch/v1/scheduler.proto proto/platform/v1/platform.proto proto/backend/v1/backend.proto)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=github.com/lentilwinch/lentilwinch \
  --connect-go_out=. --connect-go_opt=module=github.com/lentilwinch/lentilwinch \
  "${sources[@]}"
sha256sum "${sources[@]}" $(find gen -name '*.go' | sort) > gen/SHA256SUMS
