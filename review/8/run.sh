#!/bin/sh
# Three requests with a part of a prompt that crashes servers come in a quiet time.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/trefoilnode ] && [ -x bin/review-standin-2 ] || exit 2
timeout -k 2 115 bin/review-standin-2 part "$here"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
