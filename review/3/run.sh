#!/bin/bash
cd "$(dirname "$0")/../.."
exec timeout -k 5 118 java -cp target/review:target/micatide.jar review.ManyDependencies review/3/record.txt
