#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; they need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand2 ./review/stand2
