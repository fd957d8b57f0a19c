#include "caller/failure.h"

#include <jansson.h>

struct failure {
	const char *code;
	int status;
	enum outcome outcome;
};

static const struct failure failures[CALLER_ERROR_COUNT] = {
    [CALLER_ERROR_MALFORMED_JSON] = {"malformed_json", 400, OUTCOME_NOT_RUN},
    [CALLER_ERROR_INVALID_VALUE] = {"invalid_value", 400, OUTCOME_NOT_RUN},
    [CALLER_ERROR_NO_API_KEY] = {"no_api_key", 401, OUTCOME_NOT_RUN},
    [CALLER_ERROR_INVALID_API_KEY] = {"invalid_api_key", 401, OUTCOME_NOT_RUN},
    [CALLER_ERROR_NOT_ALLOWED] = {"not_allowed", 403, OUTCOME_NOT_RUN},
    [CALLER_ERROR_MODEL_NOT_FOUND] = {"model_not_found", 404, OUTCOME_NOT_RUN},
    [CALLER_ERROR_PATH_NOT_FOUND] = {"path_not_found", 404, OUTCOME_NOT_RUN},
    [CALLER_ERROR_METHOD_NOT_ALLOWED] = {"method_not_allowed", 405,
	OUTCOME_NOT_RUN},
    [CALLER_ERROR_PROMPT_TOO_LONG] = {"context_length_exceeded", 400,
	OUTCOME_NOT_RUN},
    [CALLER_ERROR_BUSY] = {"busy", 429, OUTCOME_NOT_RUN},
    [CALLER_ERROR_NO_UPSTREAM] = {"no_upstream", 503, OUTCOME_NOT_RUN},
    [CALLER_ERROR_DRAINING] = {"leaving", 503, OUTCOME_NOT_RUN},
    [CALLER_ERROR_QUARANTINED] = {"quarantined", 422, OUTCOME_FAILED},
    [CALLER_ERROR_DEADLINE_BEFORE_START] = {"deadline_before_start", 504,
	OUTCOME_NOT_RUN},
    [CALLER_ERROR_DEADLINE] = {"deadline", 504, OUTCOME_FAILED},
    [CALLER_ERROR_UPSTREAM_LOST] = {"upstream_lost", 502, OUTCOME_FAILED},
    [CALLER_ERROR_UPSTREAM_FAILED] = {"upstream_failed", 502, OUTCOME_FAILED},
    [CALLER_ERROR_OUTCOME_UNKNOWN] = {"outcome_unknown", 504, OUTCOME_UNKNOWN},
    [CALLER_ERROR_CLAIM_UNAVAILABLE] = {"claim_unavailable", 503,
	OUTCOME_NOT_RUN},
    [CALLER_ERROR_ALREADY_RUNNING] = {"already_running", 409, OUTCOME_UNKNOWN},
    [CALLER_ERROR_IDEMPOTENCY_KEY_REUSED] = {"idempotency_key_reused", 422,
	OUTCOME_NOT_RUN},
    [CALLER_ERROR_STREAM_GONE] = {"stream_gone", 404, OUTCOME_FAILED},
};

static const char *const outcome_texts[] = {
    [OUTCOME_NOT_RUN] = "not-run",
    [OUTCOME_FAILED] = "failed",
    [OUTCOME_UNKNOWN] = "unknown",
};

G_DEFINE_QUARK(caller_error, caller_error)

int
failure_status(enum caller_error error)
{
	return failures[error].status;
}

/* Returns the "code" member of an error body. */
const char *
failure_code(enum caller_error error)
{
	return failures[error].code;
}

/* Returns the "type" member of an error body, as in the OpenAI API. */
const char *
failure_type(enum caller_error error)
{
	switch (failures[error].status) {
	case 401:
		return "authentication_error";
	case 403:
		return "permission_error";
	case 429:
		return "rate_limit_error";
	case 400:
	case 404:
	case 405:
	case 409:
	case 422:
		return "invalid_request_error";
	default:
		return "server_error";
	}
}

/* Returns the value of the Heatherturn-Outcome header. */
const char *
failure_outcome(enum caller_error error)
{
	return outcome_texts[failures[error].outcome];
}

/*
 * Returns the JSON body of a CALLER_ERROR in the format of the OpenAI API, with
 * an "outcome" member added; freed with free().
 */
char *
failure_body(const GError *error)
{
	enum caller_error code = (enum caller_error)error->code;
	json_t *body = json_pack("{s:{s:s, s:s, s:s, s:s}}", "error", "message",
	    error->message, "type", failure_type(code), "code",
	    failure_code(code), "outcome", failure_outcome(code));
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text;
}
