#!/bin/sh
# Builds the stand-in that the scripts of review/6 and later start. Run after the build of
# deploy/system.toml; it needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-2/standin-2 .
