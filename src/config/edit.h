/*
 * Operators' changes to a configuration document. A change is applied as a
 * whole or fails with a typed error. It can be applied again to a newer
 * document if another writer was first.
 */
#ifndef CONFIG_EDIT_H
#define CONFIG_EDIT_H

#include <stdbool.h>

#include <glib.h>

#include "config/object.h"

#define CONFIG_EDIT_ERROR (config_edit_error_quark())

enum config_edit_error {
	CONFIG_EDIT_ERROR_EXISTS, /* an object with this id exists */
	CONFIG_EDIT_ERROR_NOT_FOUND,
	CONFIG_EDIT_ERROR_CONFLICT, /* the object's version has changed */
	CONFIG_EDIT_ERROR_IN_USE, /* other objects refer to it */
	CONFIG_EDIT_ERROR_MALFORMED, /* the change has no object */
};

enum config_edit_verb {
	CONFIG_EDIT_CREATE,
	CONFIG_EDIT_UPDATE,
	CONFIG_EDIT_DELETE,
	CONFIG_EDIT_TAKE_OUT, /* take a failure domain out of service */
	CONFIG_EDIT_BRING_BACK, /* return a failure domain to service */
};

struct config_edit {
	enum config_edit_verb verb;
	const struct object_kind *kind;
	ProtobufCMessage *object; /* create, update; owned */
	char *id;
	uint64_t version; /* update, delete: the one that the operator read */
	/* Current object after a success, EXISTS or CONFLICT; owned. */
	ProtobufCMessage *result;
};

GQuark config_edit_error_quark(void);
struct config_edit *config_edit_new(enum config_edit_verb,
    const struct object_kind *, const char *id, uint64_t version);
struct config_edit *config_edit_new_object(
    enum config_edit_verb, const Heatherturn__V1__Object *, GError **);
void config_edit_free(struct config_edit *);
bool config_edit_apply(
    struct config_edit *, Heatherturn__V1__ConfigDocument *, GError **);

#endif
