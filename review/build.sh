#!/bin/bash
# Builds the stand-ins and the cases. Needs target/micatide.jar, which the build of the deploy file makes; uses the JSON library in it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/micatide.jar $(find review -name '*.java')
