#!/bin/bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 does the same without late calls. Writes record.txt beside this script.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$folder/record.txt
cd "$folder/../.." || exit 2
echo "trouble ${TROUBLE:-1}" >"$record" || exit 2
fail() {
    echo "could not run: $1" | tee -a "$record"
    exit 2
}
words=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
read -r -a command <<<"$words"
if [ ! -x "${command[0]}" ] && [ -x build/cornellever ]; then
    command[0]=build/cornellever
fi
[ -x "${command[0]}" ] || fail "${command[0]} is not built"
[ -x review/bin/two_holders ] || bash review/build.sh >&2 || fail "the stand-ins are not built"
temporary=$(mktemp -d) || fail "no temporary folder"
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 88 review/bin/two_holders "$record" "$temporary" "${TROUBLE:-1}" "${command[@]}"
code=$?
[ $code -le 2 ] || fail "the test ended with code $code"
exit $code
