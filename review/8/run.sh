#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/acaciacourse.jar ] && [ -f target/review-2/JoinedTexts.class ] || { echo "not built" >&2; exit 2; }
timeout -k 2 117 java -Xmx512m -cp target/review-2 JoinedTexts review/8/record.txt
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
