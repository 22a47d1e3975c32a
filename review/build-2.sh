#!/bin/bash
# Builds the stand-ins and programs of the cases 4 to 8; after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/micatide.jar -d target/review-2 review/stand-ins-2/review2/*.java
