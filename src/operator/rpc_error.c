#include "operator/rpc_error.h"

#include "config/config.h"
#include "config/validate.h"
#include "operator/protobuf_json.h"
#include "store/config_writer.h"

#define ANY_CODE (-1)

G_DEFINE_QUARK(rpc_error, rpc_error)

static const struct error_row {
	GQuark (*domain)(void);
	int code; /* or ANY_CODE */
	int status;
	const char *name;
} error_rows[] = {
    {protobuf_json_error_quark, ANY_CODE, 400, "invalid"},
    {config_error_quark, ANY_CODE, 400, "invalid"},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_MALFORMED, 400, "invalid"},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_NOT_FOUND, 404, "not_found"},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_EXISTS, 409, "already_exists"},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_CONFLICT, 409, "conflict"},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_IN_USE, 409, "in_use"},
    {config_write_error_quark, CONFIG_WRITE_ERROR_TOO_LARGE, 413, "too_large"},
    {config_write_error_quark, CONFIG_WRITE_ERROR_CONFLICT, 409, "conflict"},
    {config_write_error_quark, CONFIG_WRITE_ERROR_UNAVAILABLE, 503,
	"unavailable"},
    {config_write_error_quark, CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN, 504,
	"outcome_unknown"},
    {rpc_error_quark, RPC_ERROR_NO_TOKEN, 401, "unauthenticated"},
    {rpc_error_quark, RPC_ERROR_WRONG_TOKEN, 403, "denied"},
    {rpc_error_quark, RPC_ERROR_UNKNOWN_METHOD, 404, "no_method"},
    {rpc_error_quark, RPC_ERROR_HTTP_METHOD, 405, "verb"},
    {rpc_error_quark, RPC_ERROR_CONTENT_TYPE, 415, "content_type"},
    {rpc_error_quark, RPC_ERROR_MALFORMED, 400, "invalid"},
    {rpc_error_quark, RPC_ERROR_UNKNOWN_KIND, 400, "invalid"},
    {rpc_error_quark, RPC_ERROR_NOT_FOUND, 404, "not_found"},
    {rpc_error_quark, RPC_ERROR_NO_PLATFORM, 503, "unavailable"},
};

static const struct error_row internal_error = {
    NULL, ANY_CODE, 500, "internal"};

/* Finds an error's row; errors without one are internal. */
static const struct error_row *
find_row(const GError *error)
{
	for (size_t i = 0; i < G_N_ELEMENTS(error_rows); i++) {
		const struct error_row *row = &error_rows[i];

		if (row->domain() == error->domain &&
		    (row->code == ANY_CODE || row->code == error->code))
			return row;
	}
	return &internal_error;
}

/* Returns the HTTP status for an error. */
int
rpc_error_status(const GError *error)
{
	return find_row(error)->status;
}

/* Returns the code of the Error message for an error. */
const char *
rpc_error_code(const GError *error)
{
	return find_row(error)->name;
}

/* Returns the path of the field that an error is about, or NULL; free with
 * g_free(). */
static char *
find_field(const GError *error)
{
	if (error->domain == PROTOBUF_JSON_ERROR)
		return protobuf_json_error_field(error);
	if (error->domain == CONFIG_ERROR)
		return config_error_field(error);
	if (g_error_matches(
		error, CONFIG_EDIT_ERROR, CONFIG_EDIT_ERROR_MALFORMED))
		return g_strdup("object");
	return NULL;
}

/*
 * Returns the Error message of a failed call. Where the edit, which may be
 * NULL, found an object, the message has that object as it is stored.
 */
Heatherturn__V1__Error *
rpc_error_message_new(
    const GError *error, const struct config_edit *edit, int64_t retry_after_ms)
{
	Heatherturn__V1__Error *message = g_new(Heatherturn__V1__Error, 1);
	char *field = find_field(error);

	heatherturn__v1__error__init(message);
	message->code = g_strdup(rpc_error_code(error));
	message->message = g_strdup(error->message);
	if (field != NULL)
		message->field = field;
	if (edit != NULL && edit->result != NULL)
		message->current = object_wrap(
		    edit->kind, object_copy(edit->result));
	message->retry_after_ms = (uint32_t)CLAMP(
	    retry_after_ms, 0, UINT32_MAX);
	message->outcome_unknown = g_error_matches(
	    error, CONFIG_WRITE_ERROR, CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN);
	return message;
}
