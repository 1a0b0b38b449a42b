#!/bin/sh
# Builds the stand-ins of the third review into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
