#!/bin/sh
# Builds the stand-ins of all cases. They need the standard library only, so this works without a network.
cd "$(dirname "$0")/standins" && exec cargo build --release --locked --offline
