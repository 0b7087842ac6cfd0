#!/bin/sh
# Builds the stand-ins of the second review: the store, the workers, the clients and what drives them are one
# program. The routers are those that the build line of deploy/system.toml makes.
set -e
cd "$(dirname "$0")/rig-2"
GOWORK=off go build -o bin/review2 .
