#!/bin/sh
# The stand-ins of the second review are Python programs: checks that they can be read. Needs no network.
cd "$(dirname "$0")" || exit 2
for file in common-2/world.py [4-8]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
