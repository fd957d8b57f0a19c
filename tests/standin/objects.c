#include "objects.h"

#include <string.h>

struct objects {
	GTree *by_key;
	guint live_count;
};

/* Frees one object. */
static void
object_free(gpointer data)
{
	struct object *object = data;

	g_free(object->key);
	g_bytes_unref(object->value);
	g_free(object);
}

/* Compares keys bytewise. */
static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

/* Creates an empty store. */
struct objects *
objects_new(void)
{
	struct objects *objects = g_new0(struct objects, 1);

	objects->by_key = g_tree_new_full(
	    compare_keys, NULL, NULL, object_free);
	return objects;
}

/* Frees the store and its values. */
void
objects_free(struct objects *objects)
{
	if (objects == NULL)
		return;
	g_tree_unref(objects->by_key);
	g_free(objects);
}

/* Returns the current object; NULL if it doesn't exist. */
const struct object *
objects_get(struct objects *objects, const char *key)
{
	const struct object *object = g_tree_lookup(objects->by_key, key);

	return object == NULL || object->value == NULL ? NULL : object;
}

/* Whether a precondition holds for an object, which may be NULL. */
static bool
condition_holds(const struct object *object, const struct condition *condition)
{
	bool present = object != NULL && object->value != NULL;

	if (condition->absent)
		return !present;
	if (condition->has_version)
		return present && object->version == condition->version;
	return true;
}

/* Writes a value as the key's next version; false if the condition fails. */
bool
objects_put(struct objects *objects, const char *key,
    const struct condition *condition, GBytes *value)
{
	struct object *object = g_tree_lookup(objects->by_key, key);

	if (!condition_holds(object, condition))
		return false;
	if (object == NULL) {
		object = g_new0(struct object, 1);
		object->key = g_strdup(key);
		g_tree_insert(objects->by_key, object->key, object);
	}
	if (object->value == NULL)
		objects->live_count++;
	g_bytes_unref(object->value);
	object->value = g_bytes_ref(value);
	object->version++;
	return true;
}

/* Deletes a value; returns the HTTP status: 200, 404 or 412. */
int
objects_delete(
    struct objects *objects, const char *key, const struct condition *condition)
{
	struct object *object = g_tree_lookup(objects->by_key, key);

	if (object == NULL || object->value == NULL)
		return 404;
	if (!condition_holds(object, condition))
		return 412;
	g_bytes_unref(object->value);
	object->value = NULL;
	objects->live_count--;
	return 200;
}

/* Finds objects under a prefix in key order, after a key unless it is NULL. */
void
objects_list(struct objects *objects, const char *prefix, const char *after,
    guint limit, GPtrArray *found)
{
	GTreeNode *node = g_tree_lower_bound(objects->by_key, prefix);

	if (after != NULL && strcmp(after, prefix) >= 0)
		node = g_tree_upper_bound(objects->by_key, after);
	for (; node != NULL && found->len < limit;
	     node = g_tree_node_next(node)) {
		struct object *object = g_tree_node_value(node);

		if (!g_str_has_prefix(object->key, prefix))
			return;
		if (object->value != NULL)
			g_ptr_array_add(found, object);
	}
}

/* Returns the number of objects, deleted ones excluded. */
guint
objects_count(struct objects *objects)
{
	return objects->live_count;
}
