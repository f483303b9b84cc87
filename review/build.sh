#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library alone, so no network is needed.
set -e
cd "$(dirname "$0")/standin"
cargo build --release --offline --locked
