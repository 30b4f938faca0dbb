#!/bin/sh
# Builds the stand-in that the scripts of review/7 to 10 start. Run it after the build of
# deploy/system.toml. It needs no network: the program uses the standard library only.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2/standin-2 .
