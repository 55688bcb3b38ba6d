#!/usr/bin/env bash
# Runs each fuzzer with a fixed number of inputs. Argument: the build folder. The head of a fuzzer's
# source says which failures it guards against. The last line is "N passed, N failed".
set -u
build=$1
inputs=100000
passed=0 failed=0
for f in "$(dirname "$0")"/../fuzz/*.c; do
  out=$("$build/fuzz-$(basename "$f" .c)" $inputs 2>&1)
  line=$(tail -1 <<<"$out")
  if [[ $line == "$inputs passed, 0 failed" ]]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $f"
    tail -20 <<<"$out"
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
