_heatherturn() {
	local word=${COMP_WORDS[COMP_CWORD]}
	local flags="--entry --token-file --ca-file --json --wait --timeout --file --version --help"
	local verbs="create get list update delete take-out bring-back status explain key completion"
	local kinds="organisation service failure-domain rollout upstream"
	if [ "$COMP_CWORD" -eq 1 ]; then
		COMPREPLY=($(compgen -W "entry gateway sidecar ctl check explain" -- "$word"))
		return
	fi
	if [ "${COMP_WORDS[1]}:$COMP_CWORD" = explain:2 ] && [[ $word == -* ]]; then
		COMPREPLY=($(compgen -W "--summary --upstream --help" -- "$word"))
		return
	fi
	[ "${COMP_WORDS[1]}" = ctl ] || return
	case "${COMP_WORDS[3]}" in
	organisation) flags+=" --display-name --weight --api-key-sha256 --services --max-prompt-tokens" ;;
	service) flags+=" --kind --path-prefix --short-deadline-ms --long-deadline-ms --long-threshold-tokens --default-output-tokens --retry-share-percent --repeatable" ;;
	failure-domain) flags+=" --region --state" ;;
	rollout) flags+=" --model --adapter --model-version --previous-model-version --step-percent --step --state" ;;
	upstream) flags+=" --service --failure-domain --sidecar-address --dialect --checks-fencing --state --memory-tokens --slots --cold-slots --prefill-tokens-per-s" ;;
	esac
	case "$COMP_CWORD:$word" in
	*:-*) COMPREPLY=($(compgen -W "$flags" -- "$word")) ;;
	2:*) COMPREPLY=($(compgen -W "$verbs" -- "$word")) ;;
	3:*) COMPREPLY=($(compgen -W "$kinds" -- "$word")) ;;
	esac
}
complete -o default -F _heatherturn heatherturn
