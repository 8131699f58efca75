#!/bin/sh
# Builds every stand-in that the scripts of the second review start. The project's own programs come from the deploy
# file's build. Needs cargo and no network: there are no dependencies.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
