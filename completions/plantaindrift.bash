# Completion of the plantaindrift command line for bash; source this file or copy it to the completions folder.
_plantaindrift()
{
    local current=${COMP_WORDS[COMP_CWORD]}
    local command=${COMP_WORDS[1]:-}
    local commands="validate diff apply rollback status wait drain undrain evacuate restore audit keygen help"
    local platform="--platform= --platform_ca= --timeout_ms= --output="
    local write="--expected_position= --author= --reason= --operation_id="
    # The completion library splits words at '=', so a value is completed only for file names.
    if [ "$COMP_CWORD" -eq 1 ]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
        return
    fi
    local flags
    case $command in
        validate) flags="--output=" ;;
        diff) flags="$platform" ;;
        apply) flags="$platform $write" ;;
        rollback) flags="$platform $write --position=" ;;
        status) flags="$platform --stale_s=" ;;
        wait) flags="$platform --position= --deadline_s= --poll_ms= --stale_s=" ;;
        drain) flags="$platform --author= --reason=" ;;
        undrain) flags="$platform" ;;
        evacuate) flags="$platform --author= --reason=" ;;
        restore) flags="$platform" ;;
        audit) flags="$platform --service= --author= --since= --until=" ;;
        keygen) flags="--output= --directory= --epoch=" ;;
        help) mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current"); return ;;
        *) return ;;
    esac
    case $current in
        -*) mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$current") ;;
        *) mapfile -t COMPREPLY < <(compgen -f -- "$current") ;;
    esac
}
complete -o nospace -F _plantaindrift plantaindrift
