#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy curl jq
  libabsl-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  prometheus-cpp-dev libcpp-httplib-dev libssl-dev libboost1.81-dev
  libboost-program-options1.81-dev libfmt-dev libtomlplusplus-dev
  nlohmann-json3-dev libxxhash-dev libcpputest-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "install-deps: all packages are installed"
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -q
$sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
