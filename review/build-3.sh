#!/bin/sh
# Builds the stand-ins of review/11 and later into target/. They need the standard library only.
cd "$(dirname "$0")/standin-3" && GOWORK=off GOFLAGS=-mod=mod exec go build -o ../../target/review-standin-3 .
