#!/usr/bin/env bash
# Compares the pages for operators, the man page and the shell completion with the program. Argument:
# the build folder. The last line is "N passed, N failed".
# Guards against settings, commands and examples in the documentation that the program does not have,
# and against those of the program that the documentation lacks.
set -u
build=$1
. "$(dirname "$0")/lib.sh"
docs=$(dirname "$0")/../../docs
ph () { "$build/pollenhitch" "$@"; }

# Prints the names of the subcommands of a help text on standard input.
subcommands () { sed -n '/^Commands:/,/^$/s/^  \([a-z]*\) .*/\1/p'; }
commands=()
for c in $(ph --help | subcommands); do
  nested=$(ph "$c" --help | subcommands)
  for n in ${nested:-""}; do commands+=("$c${n:+ $n}"); done
done

# Prints the rows that settings.md must have for a command.
expected_rows () { # COMMAND...
  ph "$@" --help | grep -v -- '--help' | sed -nE 's/^  (--[a-z-]+(=[A-Z]+)?) +(.*)$/| `\1` | \3 |/p'
}
# Prints the rows of a command's section in settings.md.
settings_rows () { sed -n "/^## pollenhitch $1\$/,/^## /{/^| \`--/p}" "$docs/operators/settings.md"; }
# Prints the rows of a command's section in the man page, in the format of settings.md.
man_rows () {
  sed -n "/^\\.SS pollenhitch $1\$/,/^\\.S[SH] /p" "$docs/pollenhitch.1" | sed 's/\\-/-/g' |
    sed -nE '/^\.B --/{N;s/^\.B (--[^\n]*)\n(.*)$/| `\1` | \2 |/p}'
}

check "the program has commands" [ ${#commands[@]} -ge 10 ]
for c in "${commands[@]}"; do
  expected_rows $c >"$work_dir/expected"
  settings_rows "$c" >"$work_dir/settings"
  check "$c has settings" [ -s "$work_dir/expected" ]
  check "settings.md: $c" diff "$work_dir/expected" "$work_dir/settings"
  man_rows "$c" >"$work_dir/man"
  check "man page: $c" diff "$work_dir/expected" "$work_dir/man"
  flags=$(sed -nE 's/^\| `(--[a-z-]+).*/\1/p' "$work_dir/expected")
  completed=$(
    PATH=$(realpath "$build"):$PATH
    . "$docs/../completion/pollenhitch.bash"
    COMP_WORDS=(pollenhitch $c --) COMP_CWORD=$((1 + $(wc -w <<<"$c"))) COMPREPLY=()
    _pollenhitch
    printf '%s\n' "${COMPREPLY[@]}" | sort | tr '\n' ' '
  )
  check "completion: $c" [ "$completed" = "$(printf '%s\n' --help $flags | sort | tr '\n' ' ')" ]
done
check "settings.md names no other command" [ "$(grep -c '^## pollenhitch ' "$docs/operators/settings.md")" -eq ${#commands[@]} ]

# Each example in objects.md is an object that apply accepts; the page has one of each kind.
awk -v work="$work_dir" '/^```json$/ { n++; on = 1; next } /^```$/ { on = 0 } on { print > (work "/example" n ".json") }' \
  "$docs/operators/objects.md"
for f in "$work_dir"/example*.json; do
  check "objects.md: $(grep -o '"path": "[^"]*"' "$f" | head -1)" ph apply --check "$f"
done
for kind in service data-centre move budget upstream-rules; do
  check "objects.md has an example of $kind" grep -q "\"kind\": \"$kind\"" "$work_dir"/example*.json
done
# The ranges in objects.md are those that apply enforces.
is_valid_spec () { # KIND COLLECTION SPEC: whether apply accepts it
  echo "{\"path\":\"/teams/t/$2/s\",\"kind\":\"$1\",\"spec\":$3}" | ph apply --check - >/dev/null 2>&1
}
# Whether apply accepts both bounds and refuses the values next to them. N in FORMAT is the value.
range_is_enforced () { # KIND COLLECTION FORMAT MIN MAX
  is_valid_spec "$1" "$2" "${3/N/$4}" && is_valid_spec "$1" "$2" "${3/N/$5}" &&
    ! is_valid_spec "$1" "$2" "${3/N/$(($4 - 1))}" && ! is_valid_spec "$1" "$2" "${3/N/$(($5 + 1))}"
}
kind='' ranges=0
while read -r _ field _ min _ max rest; do
  case $field in
    kind) kind=$min ;;
    versions.*) format="{\"versions\":{\"1\":{\"${field##*.}\":N}}}" ;;
    *) format="{\"$field\":N}" ;;
  esac
  [ "$field" = kind ] && continue
  collection=${kind%s}s
  check "objects.md: range of $kind $field" range_is_enforced "$kind" "$collection" "$format" "$min" "$max"
  ranges=$((ranges + 1))
done < <(sed -nE 's/^## (.*)$/| kind | \1/p; s/^\| `([a-z_.<>]+)` \| ([0-9]+) to ([0-9]+) \|.*/| \1 | \2 to \3/p' "$docs/operators/objects.md")
check "objects.md has ranges" [ $ranges -ge 7 ]

# Each exit status in command.h is in errors.md and in the man page.
for status in $(sed -nE 's/^#define PH_EXIT_[A-Z_]+ ([0-9]+)$/\1/p' "$docs/../include/pollenhitch/command.h"); do
  check "errors.md: exit status $status" grep -q "^| $status |" "$docs/operators/errors.md"
  check "man page: exit status $status" grep -q "^\\.B $status\$" "$docs/pollenhitch.1"
done
finish
