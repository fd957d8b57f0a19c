#include "operator/rpc.h"

#include <string.h>

#include "operator/protobuf_json.h"
#include "operator/rpc_error.h"

#define SERVICE_PATH "/heatherturn.v1.Operator/"

static const char *const role_names[] = {
    [ROLE_ENTRY] = "entry",
    [ROLE_SIDECAR] = "sidecar",
    [ROLE_CTL] = "ctl",
    [ROLE_GATEWAY] = "gateway",
};

/* Returns an ObjectResponse; object may be NULL, and is copied. */
static ProtobufCMessage *
new_object_response(const struct object_kind *kind,
    const ProtobufCMessage *object, uint64_t config_version)
{
	Heatherturn__V1__ObjectResponse *response = g_new(
	    Heatherturn__V1__ObjectResponse, 1);

	heatherturn__v1__object_response__init(response);
	response->config_version = config_version;
	if (object != NULL)
		response->object = object_wrap(kind, object_copy(object));
	return &response->base;
}

/* Finds the kind of object that a request names. */
static const struct object_kind *
find_kind(Heatherturn__V1__ObjectKind number, GError **error)
{
	const struct object_kind *kind = object_kind_find(number);

	if (kind == NULL)
		g_set_error(error, RPC_ERROR, RPC_ERROR_UNKNOWN_KIND,
		    "kind: must be a kind of object");
	return kind;
}

/* Get: one object of the configuration in force in this process. */
static ProtobufCMessage *
read_get(const ProtobufCMessage *message, const struct config *config,
    GError **error)
{
	const Heatherturn__V1__GetRequest
	    *request = (const Heatherturn__V1__GetRequest *)message;
	const struct object_kind *kind = find_kind(request->kind, error);
	const ProtobufCMessage *object;

	if (kind == NULL)
		return NULL;
	object = object_find(kind, config_document(config), request->id);
	if (object == NULL) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_NOT_FOUND,
		    "no %s has the id '%s'", kind->name, request->id);
		return NULL;
	}
	return new_object_response(kind, object, config_version(config));
}

/* Appends all objects of a kind to a response with enough space allocated. */
static void
add_objects(Heatherturn__V1__ListResponse *response,
    const struct object_kind *kind,
    const Heatherturn__V1__ConfigDocument *document)
{
	for (size_t i = 0; i < object_count(kind, document); i++)
		response->objects[response->n_objects++] = object_wrap(
		    kind, object_copy(object_at(kind, document, i)));
}

/* List: the objects of one kind, or of all kinds if none is given. */
static ProtobufCMessage *
read_list(const ProtobufCMessage *message, const struct config *config,
    GError **error)
{
	const Heatherturn__V1__ListRequest
	    *request = (const Heatherturn__V1__ListRequest *)message;
	const Heatherturn__V1__ConfigDocument *document = config_document(
	    config);
	Heatherturn__V1__ListResponse *response;
	size_t total = 0;

	if (request->kind != 0 && find_kind(request->kind, error) == NULL)
		return NULL;
	response = g_new(Heatherturn__V1__ListResponse, 1);
	heatherturn__v1__list_response__init(response);
	response->config_version = config_version(config);
	for (size_t i = 0; i < OBJECT_KINDS; i++)
		total += object_count(&object_kinds[i], document);
	response->objects = g_new0(Heatherturn__V1__Object *, total + 1);
	for (size_t i = 0; i < OBJECT_KINDS; i++) {
		if (request->kind == 0 || object_kinds[i].kind == request->kind)
			add_objects(response, &object_kinds[i], document);
	}
	return &response->base;
}

/* Create: a change that adds an object. */
static struct config_edit *
change_create(const ProtobufCMessage *request, GError **error)
{
	return config_edit_new_object(CONFIG_EDIT_CREATE,
	    ((const Heatherturn__V1__CreateRequest *)request)->object, error);
}

/* Update: a change that replaces an object if it has the given version. */
static struct config_edit *
change_update(const ProtobufCMessage *request, GError **error)
{
	return config_edit_new_object(CONFIG_EDIT_UPDATE,
	    ((const Heatherturn__V1__UpdateRequest *)request)->object, error);
}

/* Delete: a change that removes an object if it has the given version. */
static struct config_edit *
change_delete(const ProtobufCMessage *message, GError **error)
{
	const Heatherturn__V1__DeleteRequest
	    *request = (const Heatherturn__V1__DeleteRequest *)message;
	const struct object_kind *kind = find_kind(request->kind, error);

	if (kind == NULL)
		return NULL;
	return config_edit_new(
	    CONFIG_EDIT_DELETE, kind, request->id, request->version);
}

/* Returns a change of a failure domain's state. */
static struct config_edit *
change_domain(enum config_edit_verb verb, const char *id)
{
	return config_edit_new(verb,
	    object_kind_find(
		HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_FAILURE_DOMAIN),
	    id, 0);
}

/* TakeOut: stops new work from starting in a failure domain. */
static struct config_edit *
change_take_out(const ProtobufCMessage *request, GError **error)
{
	return change_domain(CONFIG_EDIT_TAKE_OUT,
	    ((const Heatherturn__V1__TakeOutRequest *)request)->failure_domain);
}

/* BringBack: allows new work in a failure domain again. */
static struct config_edit *
change_bring_back(const ProtobufCMessage *request, GError **error)
{
	return change_domain(CONFIG_EDIT_BRING_BACK,
	    ((const Heatherturn__V1__BringBackRequest *)request)
		->failure_domain);
}

static const struct rpc_method methods[] = {
    {"Create", &heatherturn__v1__create_request__descriptor,
	.change = change_create},
    {"Get", &heatherturn__v1__get_request__descriptor, .read = read_get},
    {"List", &heatherturn__v1__list_request__descriptor, .read = read_list},
    {"Update", &heatherturn__v1__update_request__descriptor,
	.change = change_update},
    {"Delete", &heatherturn__v1__delete_request__descriptor,
	.change = change_delete},
    {"TakeOut", &heatherturn__v1__take_out_request__descriptor,
	.change = change_take_out},
    {"BringBack", &heatherturn__v1__bring_back_request__descriptor,
	.change = change_bring_back},
    {"Status", &heatherturn__v1__status_request__descriptor,
	.is_status_query = true},
};

/* Finds the method of a request path; NULL with RPC_ERROR_UNKNOWN_METHOD. */
const struct rpc_method *
rpc_method_find(const char *path, GError **error)
{
	const char *name = g_str_has_prefix(path, SERVICE_PATH)
	    ? path + strlen(SERVICE_PATH)
	    : "";

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (strcmp(methods[i].name, name) == 0)
			return &methods[i];
	}
	g_set_error(error, RPC_ERROR, RPC_ERROR_UNKNOWN_METHOD,
	    "'%s' is not a method of the operator API", path);
	return NULL;
}

/*
 * Parses a Content-Type header, ignoring its parameters; NULL means JSON. Sets
 * the encoding to JSON also on error, RPC_ERROR_CONTENT_TYPE.
 */
bool
rpc_encoding_parse(
    const char *content_type, enum rpc_encoding *encoding, GError **error)
{
	g_autofree char *type = g_strdup(
	    content_type == NULL ? "application/json" : content_type);

	type[strcspn(type, ";")] = '\0';
	g_strstrip(type);
	*encoding = RPC_ENCODING_JSON;
	if (g_ascii_strcasecmp(type, "application/json") == 0)
		return true;
	if (g_ascii_strcasecmp(type, "application/proto") == 0 ||
	    g_ascii_strcasecmp(type, "application/x-protobuf") == 0) {
		*encoding = RPC_ENCODING_PROTOBUF;
		return true;
	}
	g_set_error(error, RPC_ERROR, RPC_ERROR_CONTENT_TYPE,
	    "content type '%s' is neither application/json nor "
	    "application/proto",
	    type);
	return false;
}

/* Returns the content type of an encoding. */
const char *
rpc_encoding_content_type(enum rpc_encoding encoding)
{
	return encoding == RPC_ENCODING_JSON ? "application/json"
					     : "application/proto";
}

/*
 * Decodes a request body; free the message with
 * protobuf_c_message_free_unpacked(). The error is RPC_ERROR_MALFORMED for
 * protobuf and PROTOBUF_JSON_ERROR for JSON.
 */
ProtobufCMessage *
rpc_decode_request(const struct rpc_method *method, enum rpc_encoding encoding,
    const uint8_t *body, size_t length, GError **error)
{
	ProtobufCMessage *message;
	json_t *json;

	if (encoding == RPC_ENCODING_PROTOBUF) {
		message = protobuf_c_message_unpack(
		    method->request, NULL, length, body);
		if (message == NULL)
			g_set_error(error, RPC_ERROR, RPC_ERROR_MALFORMED,
			    "the body is not a valid %s",
			    method->request->short_name);
		return message;
	}
	json = protobuf_json_parse((const char *)body, length, error);
	if (json == NULL)
		return NULL;
	message = protobuf_json_decode(method->request, json, error);
	json_decref(json);
	return message;
}

/* Encodes a response. */
GByteArray *
rpc_encode_response(enum rpc_encoding encoding, const ProtobufCMessage *message)
{
	GByteArray *bytes = g_byte_array_new();
	json_t *json;
	char *text;

	if (encoding == RPC_ENCODING_PROTOBUF) {
		g_byte_array_set_size(
		    bytes, (guint)protobuf_c_message_get_packed_size(message));
		protobuf_c_message_pack(message, bytes->data);
		return bytes;
	}
	json = protobuf_json_encode(message);
	text = json_dumps(json, JSON_COMPACT);
	g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
	free(text);
	json_decref(json);
	return bytes;
}

/* Returns the response to a change that was stored. */
ProtobufCMessage *
rpc_object_response_new(const struct config_edit *edit, uint64_t config_version)
{
	return new_object_response(edit->kind, edit->result, config_version);
}

/* Returns the ProcessStatus of one process in a status query's result. */
static Heatherturn__V1__ProcessStatus *
new_process_status(const struct mesh_peer_status *entry)
{
	Heatherturn__V1__ProcessStatus *process = g_new(
	    Heatherturn__V1__ProcessStatus, 1);

	heatherturn__v1__process_status__init(process);
	process->address = g_strdup(entry->address);
	process->answered = entry->answered;
	if (!entry->answered)
		return process;
	process->process = g_strdup(entry->process);
	process->failure_domain = g_strdup(entry->failure_domain);
	process->config_version = entry->config_version;
	process->leaving = entry->draining;
	if (entry->role < G_N_ELEMENTS(role_names) &&
	    role_names[entry->role] != NULL)
		process->role = g_strdup(role_names[entry->role]);
	return process;
}

/*
 * Returns the response to Status: on how many of all known processes a version,
 * or a later one, is in force. A process that did not answer counts as one on
 * which it is not.
 */
ProtobufCMessage *
rpc_status_response_new(uint64_t config_version,
    const struct mesh_peer_status *entries, size_t count)
{
	Heatherturn__V1__StatusResponse *response = g_new(
	    Heatherturn__V1__StatusResponse, 1);

	heatherturn__v1__status_response__init(response);
	response->config_version = config_version;
	response->processes = (uint32_t)count;
	response->n_process = count;
	response->process = g_new0(Heatherturn__V1__ProcessStatus *, count + 1);
	for (size_t i = 0; i < count; i++) {
		response->process[i] = new_process_status(&entries[i]);
		if (entries[i].answered &&
		    entries[i].config_version >= config_version)
			response->in_force++;
	}
	return &response->base;
}
