#!/bin/bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 does the same without late calls.
cd "$(dirname "$0")/../.." || exit 2
words=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
read -r -a command <<<"$words"
if [ ! -x "${command[0]}" ] && [ -x build/cornellever ]; then
    command[0]=build/cornellever
fi
[ -x "${command[0]}" ] || { echo "${command[0]} is not built"; exit 2; }
[ -x review/bin/two_holders ] || bash review/build.sh || exit 2
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 118 review/bin/two_holders review/3 "$temporary" "${TROUBLE:-1}" "${command[@]}"
code=$?
[ $code -le 2 ] || code=2
exit $code
