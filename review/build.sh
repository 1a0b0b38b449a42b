#!/usr/bin/env bash
# Builds the stand-ins of the cases; the entry is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/bergamotreview
