#!/usr/bin/env bash
# Generates crates/gradeloft_wire/src/border/*.rs from schema/*.json; see schema/README.md.
set -eu
cd "$(dirname "$0")/.."
tmp=$(mktemp -d)
trap 'rm -r "$tmp"' EXIT
for schema in schema/*.json; do
  name=$(basename "$schema" .json)
  # Bounds are checked by `schema::from_yaml` before typing; without them the types stay plain.
  python3 - "$schema" > "$tmp/$name.json" <<'PY'
import json, sys
BOUNDS = {"minLength", "maxLength", "pattern", "minimum", "maximum", "minItems", "maxItems"}
def plain(it):
    if isinstance(it, dict):
        return {k: plain(v) for k, v in it.items() if k not in BOUNDS or isinstance(v, dict)}
    if isinstance(it, list):
        return [plain(v) for v in it]
    return it
doc = plain(json.load(open(sys.argv[1])))
doc.pop("allOf", None)
doc.pop("$id", None)
json.dump(doc, sys.stdout)
PY
  cargo typify --no-builder --additional-derive PartialEq "$tmp/$name.json" -o "crates/gradeloft_wire/src/border/$name.rs"
done
