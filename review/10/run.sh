#!/bin/bash
# Plays case 10; claim.txt says what it shows. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/flaxcove ] || [ ! -x bin/review2 ]; then
	echo "run the build of the deploy file and review/build-2.sh first"
	exit 2
fi
exec bin/review2 memory review/10
