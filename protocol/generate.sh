#!/bin/sh
# Regenerates the committed code of the inner protocol; needs Debian's thrift-compiler 0.17.0.
set -eu
cd "$(dirname "$0")"
rm -rf src/main/java/org/acaciacourse/protocol/generated
thrift --gen java:generated_annotations=suppress -out src/main/java src/main/thrift/acaciacourse.thrift
