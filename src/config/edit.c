#include "config/edit.h"

#include <string.h>

#include "config/validate.h"

#define DOMAIN_STATE(name) \
	HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_##name

G_DEFINE_QUARK(config_edit_error, config_edit_error)

/* Creates a change without an object, such as a delete. */
struct config_edit *
config_edit_new(enum config_edit_verb verb, const struct object_kind *kind,
    const char *id, uint64_t version)
{
	struct config_edit *edit = g_new0(struct config_edit, 1);

	edit->verb = verb;
	edit->kind = kind;
	edit->id = g_strdup(id);
	edit->version = version;
	return edit;
}

/*
 * Creates a change for a create or update. The object is copied, and unset
 * fields are set to their defaults. The error is CONFIG_EDIT_ERROR_MALFORMED.
 */
struct config_edit *
config_edit_new_object(enum config_edit_verb verb,
    const Heatherturn__V1__Object *given, GError **error)
{
	const struct object_kind *kind = NULL;
	const ProtobufCMessage *object = object_unwrap(given, &kind);
	struct config_edit *edit;

	if (object == NULL) {
		g_set_error(error, CONFIG_EDIT_ERROR,
		    CONFIG_EDIT_ERROR_MALFORMED, "object: is required");
		return NULL;
	}
	edit = config_edit_new(
	    verb, kind, object_id(kind, object), object_version(kind, object));
	edit->object = object_copy(object);
	config_fill_defaults(edit->object);
	return edit;
}

/* Frees the result of an earlier config_edit_apply(). */
static void
clear_result(struct config_edit *edit)
{
	if (edit->result != NULL)
		protobuf_c_message_free_unpacked(edit->result, NULL);
	edit->result = NULL;
}

/* Frees a change; NULL is allowed. */
void
config_edit_free(struct config_edit *edit)
{
	if (edit == NULL)
		return;
	clear_result(edit);
	if (edit->object != NULL)
		protobuf_c_message_free_unpacked(edit->object, NULL);
	g_free(edit->id);
	g_free(edit);
}

/* Finds the object to change; an update or delete also checks its version. */
static ProtobufCMessage *
find_current(struct config_edit *edit,
    const Heatherturn__V1__ConfigDocument *document, GError **error)
{
	ProtobufCMessage *current = object_find(edit->kind, document, edit->id);
	uint64_t version;

	if (current == NULL) {
		g_set_error(error, CONFIG_EDIT_ERROR,
		    CONFIG_EDIT_ERROR_NOT_FOUND, "no %s has the id '%s'",
		    edit->kind->name, edit->id);
		return NULL;
	}
	version = object_version(edit->kind, current);
	if ((edit->verb == CONFIG_EDIT_UPDATE ||
		edit->verb == CONFIG_EDIT_DELETE) &&
	    version != edit->version) {
		edit->result = object_copy(current);
		g_set_error(error, CONFIG_EDIT_ERROR,
		    CONFIG_EDIT_ERROR_CONFLICT,
		    "%s '%s' is at version %" G_GUINT64_FORMAT
		    ", but the change is for version %" G_GUINT64_FORMAT,
		    edit->kind->name, edit->id, version, edit->version);
		return NULL;
	}
	return current;
}

/* Adds the new object to the document, with the document's version. */
static bool
create(struct config_edit *edit, Heatherturn__V1__ConfigDocument *document,
    GError **error)
{
	ProtobufCMessage *current = object_find(edit->kind, document, edit->id);
	ProtobufCMessage *object;

	if (current != NULL) {
		edit->result = object_copy(current);
		g_set_error(error, CONFIG_EDIT_ERROR, CONFIG_EDIT_ERROR_EXISTS,
		    "%s '%s' already exists at version %" G_GUINT64_FORMAT,
		    edit->kind->name, edit->id,
		    object_version(edit->kind, current));
		return false;
	}
	object = object_copy(edit->object);
	object_set_version(edit->kind, object, document->version);
	object_append(edit->kind, document, object);
	return true;
}

/* Replaces an object, which keeps its position in the list. */
static bool
update(struct config_edit *edit, Heatherturn__V1__ConfigDocument *document,
    GError **error)
{
	ProtobufCMessage *current = find_current(edit, document, error);
	ProtobufCMessage *object;

	if (current == NULL)
		return false;
	object = object_copy(edit->object);
	object_set_version(edit->kind, object, document->version);
	object_replace(edit->kind, document, current, object);
	return true;
}

/* Returns whether an organisation's list of services contains this one. */
static bool
allows_service(
    const Heatherturn__V1__Organisation *organisation, const char *service)
{
	for (size_t i = 0; i < organisation->n_services; i++) {
		if (strcmp(organisation->services[i], service) == 0)
			return true;
	}
	return false;
}

/* Names an object that refers to this one; to be freed. NULL if none does. */
static char *
find_referrer(const struct config_edit *edit,
    const Heatherturn__V1__ConfigDocument *document)
{
	bool service = edit->kind->kind ==
	    HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_SERVICE;
	bool domain = edit->kind->kind ==
	    HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_FAILURE_DOMAIN;

	for (size_t i = 0; i < document->n_upstreams; i++) {
		const Heatherturn__V1__Upstream *upstream = document
								->upstreams[i];

		if ((service && strcmp(upstream->service, edit->id) == 0) ||
		    (domain && strcmp(upstream->failure_domain, edit->id) == 0))
			return g_strdup_printf("upstream '%s'", upstream->id);
	}
	for (size_t i = 0; service && i < document->n_rollouts; i++) {
		if (strcmp(document->rollouts[i]->id, edit->id) == 0)
			return g_strdup_printf("rollout '%s'", edit->id);
	}
	for (size_t i = 0; service && i < document->n_organisations; i++) {
		if (allows_service(document->organisations[i], edit->id))
			return g_strdup_printf("organisation '%s'",
			    document->organisations[i]->id);
	}
	return NULL;
}

/* Removes an object from the document; fails if another refers to it. */
static bool delete (struct config_edit *edit,
    Heatherturn__V1__ConfigDocument *document, GError **error)
{
	ProtobufCMessage *current = find_current(edit, document, error);
	g_autofree char *referrer = NULL;

	if (current == NULL)
		return false;
	referrer = find_referrer(edit, document);
	if (referrer != NULL) {
		g_set_error(error, CONFIG_EDIT_ERROR, CONFIG_EDIT_ERROR_IN_USE,
		    "%s '%s' is in use by %s", edit->kind->name, edit->id,
		    referrer);
		return false;
	}
	edit->result = object_copy(current);
	return object_remove(edit->kind, document, edit->id);
}

/*
 * Takes a failure domain out or brings it back. Setting the state that it
 * already has succeeds, so that a call can be retried.
 */
static bool
set_domain_state(struct config_edit *edit,
    Heatherturn__V1__ConfigDocument *document, GError **error)
{
	Heatherturn__V1__FailureDomain *domain = (Heatherturn__V1__FailureDomain
		*)find_current(edit, document, error);

	if (domain == NULL)
		return false;
	domain->state = edit->verb == CONFIG_EDIT_TAKE_OUT
	    ? DOMAIN_STATE(TAKEN_OUT)
	    : DOMAIN_STATE(IN_SERVICE);
	domain->version = document->version;
	return true;
}

/* Applies a change without validating the resulting document. */
static bool
apply_verb(struct config_edit *edit, Heatherturn__V1__ConfigDocument *document,
    GError **error)
{
	switch (edit->verb) {
	case CONFIG_EDIT_CREATE:
		return create(edit, document, error);
	case CONFIG_EDIT_UPDATE:
		return update(edit, document, error);
	case CONFIG_EDIT_DELETE:
		return delete (edit, document, error);
	case CONFIG_EDIT_TAKE_OUT:
	case CONFIG_EDIT_BRING_BACK:
		return set_domain_state(edit, document, error);
	}
	g_assert_not_reached();
}

/*
 * Applies a change to a document, whose version must already be that of the
 * coming write, and validates the whole document. On failure, with
 * CONFIG_EDIT_ERROR or CONFIG_ERROR_INVALID, the document must not be stored.
 * May be called again with another document.
 */
bool
config_edit_apply(struct config_edit *edit,
    Heatherturn__V1__ConfigDocument *document, GError **error)
{
	ProtobufCMessage *object;

	clear_result(edit);
	if (!apply_verb(edit, document, error) ||
	    !config_validate(document, error))
		return false;
	object = object_find(edit->kind, document, edit->id);
	if (object != NULL)
		edit->result = object_copy(object);
	return true;
}
