#!/bin/bash
# Runs the case CLASS of the folder NUMBER: run-case.sh NUMBER CLASS
cd "$(dirname "$0")/.." || exit 2
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true -cp target/review review.Main "$2" "review/$1/record.txt"
