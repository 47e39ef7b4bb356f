#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases 6 to 10 into target/review-2. Needs the build of the deploy file
# and a JDK 25, but no network.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
. bin/jdk-environment
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -proc:none -d target/review-2 -cp "target/deployment/libraries/*" \
  review/stand-ins-2/*.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java')
cp review/stand-ins-2/logback.xml review/stand-ins-2/wire.properties target/review-2/
