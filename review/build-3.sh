#!/bin/sh
# Builds the stand-in of the third review into bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review && go build -o ../bin/review-standin-3 ./standin-3)
