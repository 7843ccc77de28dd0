#!/bin/sh
# Builds the program that plays the scripted cases, with all its stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/harness
