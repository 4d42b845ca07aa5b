#!/bin/sh
# Builds the stand-ins and clients of the scripts 4 to 8, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/drive2 ./review/drive2
