# Installs missing Debian packages that the build needs and builds into build/.
# Sourced by demo.sh, measures.sh and test.sh.
set -euo pipefail
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
read -r -a packages <"$top/scripts/packages.txt"
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  $sudo apt-get install -y "${missing[@]}"
fi
cmake -S "$top" -B "$top/build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$top/build" -j "$(nproc)"
