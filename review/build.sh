#!/bin/sh
# The daemon as deploy/system.toml builds it.  The stand-ins are Perl, which
# build-essential brings, and need no build.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/bin/loomd-platform
