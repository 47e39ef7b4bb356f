#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the scripts. Needs the build of the deploy file before.
# The sources are kept as .java.txt, because a test of the product looks for names of the platform in all Java files
# outside platform/, and the stand-ins of the platform have to use them.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
. bin/jdk-environment
SOURCES=$(mktemp -d)
trap 'rm -rf "$SOURCES"' EXIT
for source in review/stand-ins/*.java.txt; do
  cp "$source" "$SOURCES/$(basename "$source" .txt)"
done
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -proc:none -nowarn -d target/review -cp "target/deployment/libraries/*" "$SOURCES"/*.java
