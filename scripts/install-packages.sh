#!/usr/bin/env bash
# Installs the Debian packages required to build and test, if any are missing.
set -euo pipefail
PACKAGES=(
  g++ cmake ninja-build make ccache git pkg-config
  libace-dev libflatbuffers-dev prometheus-cpp-dev libyaml-cpp-dev
  libmicrohttpd-dev libcurl4-openssl-dev libcxxopts-dev liblog4cplus-dev
  doctest-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev
  libboost-dev libpcg-cpp-dev clang-format-19 clang-tidy-19 gnuplot-nox python3
)
MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
  dpkg -s "$PACKAGE" >/dev/null 2>&1 || MISSING+=("$PACKAGE")
done
if [ "${#MISSING[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${MISSING[@]}" >/dev/null
