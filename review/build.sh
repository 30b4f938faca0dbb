#!/usr/bin/env bash
# Builds the stand-ins and the players of the cases into review/bin. It needs no network:
# the program uses the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/casehost .
