#!/bin/sh
# Builds the stand-ins of the cases, which all are in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-drive ./review/drive
