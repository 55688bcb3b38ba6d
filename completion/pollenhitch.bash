# Bash completion for pollenhitch. Source this file, or install it as
# /usr/share/bash-completion/completions/pollenhitch.
# Commands and settings are read from the output of --help, so that they always match the program.

_pollenhitch_commands () { # WORD...: prints the subcommands of a command
  pollenhitch "$@" --help 2>/dev/null | sed -n '/^Commands:/,/^$/s/^  \([a-z]*\) .*/\1/p'
}

_pollenhitch () {
  local word=${COMP_WORDS[COMP_CWORD]} last=${COMP_WORDS[COMP_CWORD - 1]}
  local command=() i nested
  COMPREPLY=()
  for ((i = 1; i < COMP_CWORD && ${#command[@]} < 2; i++)); do
    case ${COMP_WORDS[i]} in
      -*) break ;;
      *) command+=("${COMP_WORDS[i]}") ;;
    esac
    [[ ${command[0]} == dc || ${command[0]} == move ]] || break
  done
  case $last in
    --output) COMPREPLY=($(compgen -W "json table" -- "$word")); return ;;
    --log-level) COMPREPLY=($(compgen -W "error warning info debug" -- "$word")); return ;;
  esac
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "$(pollenhitch "${command[@]}" --help 2>/dev/null |
      sed -nE 's/^  (-h, )?(--[a-z-]+).*/\2/p')" -- "$word"))
    return
  fi
  nested=$(_pollenhitch_commands "${command[@]}")
  if [[ -n $nested ]]; then
    COMPREPLY=($(compgen -W "$nested" -- "$word"))
  elif [[ ${command[0]} == apply || ${command[0]} == diff ]]; then
    COMPREPLY=($(compgen -f -- "$word"))
  fi
}

complete -o filenames -F _pollenhitch pollenhitch
