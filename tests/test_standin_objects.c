/*
 * Objects of the stand-in platform: versions, conditions and lists.
 */
#include <glib.h>

#include "standin/objects.h"

#define ANY                     \
	{                       \
		false, false, 0 \
	}
#define ABSENT                 \
	{                      \
		true, false, 0 \
	}
#define IS(version)                    \
	{                              \
		false, true, (version) \
	}

enum action {
	PUT,
	DELETE
};

/* Steps on one key, in order, with the HTTP status and version after each. */
static const struct {
	const char *name;
	struct {
		enum action action;
		struct condition condition;
		int status; /* 0 ends the steps */
		uint64_t version; /* 0 for no object */
	} steps[6];
} cases[] = {
    {"a value is created only if absent",
	{{PUT, ABSENT, 200, 1}, {PUT, ABSENT, 412, 1}, {PUT, ANY, 200, 2}}},
    {"an update needs the current version",
	{{PUT, ANY, 200, 1}, {PUT, IS(2), 412, 1}, {PUT, IS(1), 200, 2},
	    {PUT, IS(1), 412, 2}}},
    {"an update of an absent object fails", {{PUT, IS(1), 412, 0}}},
    {"a deletion needs the current version",
	{{PUT, ANY, 200, 1}, {DELETE, IS(2), 412, 1}, {DELETE, IS(1), 200, 0},
	    {DELETE, IS(1), 404, 0}}},
    {"versions continue after a deletion",
	{{PUT, ANY, 200, 1}, {PUT, ANY, 200, 2}, {DELETE, ANY, 200, 0},
	    {PUT, IS(2), 412, 0}, {PUT, ABSENT, 200, 3}}},
};

/* Each step has the expected status and version. */
static void
test_steps(gconstpointer index)
{
	size_t i = GPOINTER_TO_SIZE(index);
	struct objects *objects = objects_new();
	g_autoptr(GBytes) value = g_bytes_new("x", 1);

	for (size_t s = 0; cases[i].steps[s].status != 0; s++) {
		const struct condition
		    *condition = &cases[i].steps[s].condition;
		const struct object *object;
		int status;

		if (cases[i].steps[s].action == DELETE)
			status = objects_delete(objects, "key", condition);
		else
			status = objects_put(objects, "key", condition, value)
			    ? 200
			    : 412;
		object = objects_get(objects, "key");
		g_assert_cmpint(status, ==, cases[i].steps[s].status);
		g_assert_cmpuint(object == NULL ? 0 : object->version, ==,
		    cases[i].steps[s].version);
		g_assert_cmpuint(objects_count(objects), ==, object != NULL);
	}
	objects_free(objects);
}

/* Lists are in key order, within a prefix, after a key, up to a limit. */
static void
test_list(void)
{
	static const char *const keys[] = {"a/2", "b", "a/1", "a/3", "a", "c"};
	static const struct condition any = ANY;
	static const struct {
		const char *prefix, *after, *found;
		guint limit;
	} list_cases[] = {
	    {"", NULL, "a a/1 a/3 b c ", 9},
	    {"a/", NULL, "a/1 a/3 ", 9},
	    {"a/", NULL, "a/1 ", 1},
	    {"a/", "a/1", "a/3 ", 9},
	    {"a/", "a/2", "a/3 ", 9},
	    {"d", NULL, "", 9},
	};
	struct objects *objects = objects_new();
	g_autoptr(GBytes) value = g_bytes_new("x", 1);

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		objects_put(objects, keys[i], &any, value);
	objects_delete(objects, "a/2", &any);
	for (size_t i = 0; i < G_N_ELEMENTS(list_cases); i++) {
		g_autoptr(GPtrArray) found = g_ptr_array_new();
		g_autoptr(GString) text = g_string_new(NULL);

		objects_list(objects, list_cases[i].prefix, list_cases[i].after,
		    list_cases[i].limit, found);
		for (guint k = 0; k < found->len; k++)
			g_string_append_printf(text, "%s ",
			    ((struct object *)found->pdata[k])->key);
		g_assert_cmpstr(text->str, ==, list_cases[i].found);
	}
	objects_free(objects);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/standin_objects/%s", cases[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_steps);
	}
	g_test_add_func("/standin_objects/lists are in order", test_list);
	return g_test_run();
}
