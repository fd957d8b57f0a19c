#include "routing/routing_table.h"

#include <string.h>

#include "routing/service_ranks.h"

struct slot;

/* Entries of one kind by their keys. */
struct slot_map {
	GHashTable *slots; /* key -> struct slot */
	void *(*ref)(void *value);
	void (*unref)(void *value);
};

/*
 * One entry: the value in force and, while a change is being prepared or its
 * old values are being released, the next one. NULL stands for no value.
 */
struct slot {
	char *key;
	struct slot_map *map;
	void *current;
	void *next;
	uint64_t generation; /* in which next comes into force; 0: none */
};

/* Prefixes of one length among a host's routes. */
struct prefix_length {
	size_t length; /* bytes */
	size_t count;
};

struct routing_table_content {
	struct slot_map routes; /* by host and prefix, see route_key() */
	struct slot_map services;
	struct slot_map keys; /* API key -> struct organisation */
	GHashTable *hosts; /* name -> GArray of struct prefix_length, longest
			      first */
	GPtrArray *staged; /* slots with a next value */
	/*
	 * API key -> GPtrArray of the organisations that list it, for keys that
	 * several do. They are borrowed.
	 */
	GHashTable *shared_keys;
	uint64_t generation; /* rises with each switch */
	struct caller_limits limits; /* from the next switch on */
	size_t organisation_count; /* the same */
};

/* References by untyped pointers, for struct slot_map. */
static void *
ref_route(void *route)
{
	return route_ref(route);
}

static void
unref_route(void *route)
{
	route_unref(route);
}

static void *
ref_service(void *service)
{
	return service_profile_ref(service);
}

static void
unref_service(void *service)
{
	service_profile_unref(service);
}

static void *
ref_organisation(void *organisation)
{
	return organisation_ref(organisation);
}

static void
unref_organisation(void *organisation)
{
	organisation_unref(organisation);
}

/* Frees a slot with its values. */
static void
slot_free(void *data)
{
	struct slot *slot = data;

	slot->map->unref(slot->current);
	slot->map->unref(slot->next);
	g_free(slot->key);
	g_free(slot);
}

/* Creates an empty map. */
static struct slot_map
slot_map_new(void *(*ref)(void *), void (*unref)(void *))
{
	return (struct slot_map){
	    .slots = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, slot_free),
	    .ref = ref,
	    .unref = unref,
	};
}

/* Returns an empty table. */
struct routing_table *
routing_table_new(void)
{
	struct routing_table *table = g_new0(struct routing_table, 1);
	struct routing_table_content *content = g_new0(
	    struct routing_table_content, 1);

	content->routes = slot_map_new(ref_route, unref_route);
	content->services = slot_map_new(ref_service, unref_service);
	content->keys = slot_map_new(ref_organisation, unref_organisation);
	content->hosts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	content->staged = g_ptr_array_new();
	content->shared_keys = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	content->generation = 1;
	table->content = content;
	table->ranks = service_ranks_new();
	return table;
}

/* Frees a table and its references; NULL is allowed. */
void
routing_table_free(struct routing_table *table)
{
	if (table == NULL)
		return;
	g_ptr_array_unref(table->content->staged);
	g_hash_table_unref(table->content->shared_keys);
	g_hash_table_unref(table->content->routes.slots);
	g_hash_table_unref(table->content->services.slots);
	g_hash_table_unref(table->content->keys.slots);
	g_hash_table_unref(table->content->hosts);
	g_free(table->content);
	service_ranks_free(table->ranks);
	g_free(table);
}

/* Returns the key of a route. No host contains a line break. */
static char *
route_key(const struct route *route)
{
	return g_strconcat(route->host, "\n", route->prefix, NULL);
}

/* Returns the value of a slot that is in force; NULL for none. */
static void *
visible_value(const struct routing_table *table, const struct slot *slot)
{
	if (slot == NULL)
		return NULL;
	if (slot->generation > 0 &&
	    slot->generation <= table->content->generation)
		return slot->next;
	return slot->current;
}

/* Returns the value that a slot has after the next switch; NULL for none. */
static void *
staged_value(const struct slot *slot)
{
	if (slot == NULL)
		return NULL;
	return slot->generation > 0 ? slot->next : slot->current;
}

/*
 * Sets the value that a key has after the next switch, NULL for none. The slot
 * takes a reference. Returns whether the slot was created.
 */
static bool
stage(struct routing_table *table, struct slot_map *map, const char *key,
    void *value)
{
	struct slot *slot = g_hash_table_lookup(map->slots, key);
	bool is_new = slot == NULL;

	if (is_new) {
		slot = g_new0(struct slot, 1);
		slot->key = g_strdup(key);
		slot->map = map;
		g_hash_table_insert(map->slots, slot->key, slot);
	}
	if (slot->generation == 0)
		g_ptr_array_add(table->content->staged, slot);
	if (value != NULL)
		map->ref(value);
	map->unref(slot->next);
	slot->next = value;
	slot->generation = table->content->generation + 1;
	return is_new;
}

/* Removes the value of a key from the next switch on, if it is this one. */
static void
stage_removal(struct routing_table *table, struct slot_map *map,
    const char *key, const void *value)
{
	const struct slot *slot = g_hash_table_lookup(map->slots, key);

	if (slot != NULL && staged_value(slot) == value)
		stage(table, map, key, NULL);
}

/* Returns the index of the first length of a host that is not above this. */
static guint
find_length(const GArray *lengths, size_t length)
{
	guint at = 0;

	while (at < lengths->len &&
	    g_array_index(lengths, struct prefix_length, at).length > length)
		at++;
	return at;
}

/* Counts a prefix of a host's routes. */
static void
add_length(
    struct routing_table_content *content, const char *host, size_t length)
{
	GArray *lengths = g_hash_table_lookup(content->hosts, host);
	struct prefix_length new = {.length = length};
	guint at;

	if (lengths == NULL) {
		lengths = g_array_new(
		    FALSE, FALSE, sizeof(struct prefix_length));
		g_hash_table_insert(content->hosts, g_strdup(host), lengths);
	}
	at = find_length(lengths, length);
	if (at == lengths->len ||
	    g_array_index(lengths, struct prefix_length, at).length != length)
		g_array_insert_val(lengths, at, new);
	g_array_index(lengths, struct prefix_length, at).count++;
}

/* Counts a prefix of a host's routes no more, by the key of its route. */
static void
remove_length(struct routing_table_content *content, const char *key)
{
	const char *prefix = strchr(key, '\n') + 1;
	g_autofree char *host = g_strndup(key, (gsize)(prefix - 1 - key));
	GArray *lengths = g_hash_table_lookup(content->hosts, host);
	guint at = find_length(lengths, strlen(prefix));

	if (--g_array_index(lengths, struct prefix_length, at).count == 0)
		g_array_remove_index(lengths, at);
	if (lengths->len == 0)
		g_hash_table_remove(content->hosts, host);
}

/*
 * Adds a route from the next switch on, in place of the one with the same host
 * and prefix. The table takes a reference, as the next functions do.
 */
void
routing_table_put_route(struct routing_table *table, struct route *route)
{
	g_autofree char *key = route_key(route);

	service_ranks_add_route(table->ranks, route);
	if (stage(table, &table->content->routes, key, route))
		add_length(table->content, route->host, strlen(route->prefix));
}

/* Removes a route from the next switch on, unless another one replaced it. */
void
routing_table_remove_route(struct routing_table *table, struct route *route)
{
	g_autofree char *key = route_key(route);

	service_ranks_remove_route(table->ranks, route);
	stage_removal(table, &table->content->routes, key, route);
}

/* Adds a service, in place of the one with the same name. */
void
routing_table_put_service(
    struct routing_table *table, struct service_profile *service)
{
	stage(table, &table->content->services, service->name, service);
}

/* Removes a service, unless another one replaced it. */
void
routing_table_remove_service(
    struct routing_table *table, struct service_profile *service)
{
	stage_removal(table, &table->content->services, service->name, service);
}

/* Returns the organisation that has an API key after the next switch. */
static struct organisation *
staged_owner(const struct routing_table_content *content, const char *key)
{
	return staged_value(g_hash_table_lookup(content->keys.slots, key));
}

/*
 * Records that two organisations list an API key: its owner and the next one.
 * While a change is staged, or after one that failed, a key may be in the
 * organisation that it leaves and in the one that it goes to.
 */
static void
add_key_owner(struct routing_table_content *content, const char *key,
    struct organisation *owner, struct organisation *next)
{
	GPtrArray *owners = g_hash_table_lookup(content->shared_keys, key);

	if (owners == NULL) {
		owners = g_ptr_array_new();
		g_ptr_array_add(owners, owner);
		g_hash_table_insert(
		    content->shared_keys, g_strdup(key), owners);
	}
	g_ptr_array_add(owners, next);
}

/*
 * Records that an organisation lists an API key no more, and returns the one
 * that still does; NULL if there is none.
 */
static struct organisation *
remove_key_owner(struct routing_table_content *content, const char *key,
    struct organisation *organisation)
{
	GPtrArray *owners = g_hash_table_lookup(content->shared_keys, key);
	struct organisation *next;

	if (owners == NULL)
		return NULL;
	g_ptr_array_remove(owners, organisation);
	next = owners->pdata[owners->len - 1];
	if (owners->len == 1)
		g_hash_table_remove(content->shared_keys, key);
	return next;
}

/*
 * Adds an organisation with its API keys, which then belong to it even if they
 * belong to another organisation now.
 */
void
routing_table_put_organisation(
    struct routing_table *table, struct organisation *organisation)
{
	struct routing_table_content *content = table->content;

	content->organisation_count++;
	service_ranks_add_organisation(table->ranks, organisation);
	for (guint i = 0; i < organisation->keys->len; i++) {
		const char *key = organisation->keys->pdata[i];
		struct organisation *owner = staged_owner(content, key);

		if (owner == organisation)
			continue;
		if (owner != NULL)
			add_key_owner(content, key, owner, organisation);
		stage(table, &content->keys, key, organisation);
	}
}

/*
 * Removes an organisation and its API keys; one that another organisation lists
 * too belongs to that one from the next switch on.
 */
void
routing_table_remove_organisation(
    struct routing_table *table, struct organisation *organisation)
{
	struct routing_table_content *content = table->content;

	content->organisation_count--;
	service_ranks_remove_organisation(table->ranks, organisation);
	for (guint i = 0; i < organisation->keys->len; i++) {
		const char *key = organisation->keys->pdata[i];
		struct organisation *next = remove_key_owner(
		    content, key, organisation);

		if (staged_owner(content, key) == organisation)
			stage(table, &content->keys, key, next);
	}
}

/* Sets the limits on callers' requests from the next switch on. */
void
routing_table_set_limits(
    struct routing_table *table, const struct caller_limits *limits)
{
	table->content->limits = *limits;
}

/*
 * Makes all staged changes visible, as a version of the configuration. Requests
 * need an API key if the version says so, or has organisations.
 */
void
routing_table_switch(
    struct routing_table *table, uint64_t version, bool needs_key)
{
	table->version = version;
	table->limits = table->content->limits;
	table->organisation_count = table->content->organisation_count;
	table->needs_key = needs_key || table->organisation_count > 0;
	table->content->generation++;
}

/*
 * Releases the values that a switch has replaced, of at most this number of
 * entries. Returns true once none is left, after which changes can be staged
 * again.
 */
bool
routing_table_settle(struct routing_table *table, size_t max)
{
	struct routing_table_content *content = table->content;

	while (content->staged->len > 0 && max-- > 0) {
		struct slot *slot = g_ptr_array_steal_index_fast(
		    content->staged, content->staged->len - 1);

		slot->map->unref(slot->current);
		slot->current = slot->next;
		slot->next = NULL;
		slot->generation = 0;
		if (slot->current != NULL)
			continue;
		if (slot->map == &content->routes)
			remove_length(content, slot->key);
		g_hash_table_remove(slot->map->slots, slot->key);
	}
	return content->staged->len == 0;
}

/*
 * Finds the route of a host with the longest matching path prefix; NULL if
 * there is none. Ignores the host's case and port. The result is borrowed until
 * the next switch.
 */
struct route *
routing_table_find_route(
    const struct routing_table *table, const char *host, const char *path)
{
	const struct routing_table_content *content = table->content;
	size_t host_length = strcspn(host, ":");
	size_t path_length = strlen(path);
	g_autofree char *key = g_ascii_strdown(host, (gssize)host_length);
	const GArray *lengths = g_hash_table_lookup(content->hosts, key);

	if (lengths == NULL)
		return NULL;
	key = g_realloc(key, host_length + path_length + 2);
	key[host_length] = '\n';
	memcpy(key + host_length + 1, path, path_length + 1);
	for (guint i = find_length(lengths, path_length); i < lengths->len;
	     i++) {
		size_t length = g_array_index(lengths, struct prefix_length, i)
				    .length;
		struct route *route;

		key[host_length + 1 + length] = '\0';
		route = visible_value(
		    table, g_hash_table_lookup(content->routes.slots, key));
		if (route != NULL)
			return route;
	}
	return NULL;
}

/* Finds a service by name; NULL if there is none. Borrowed like a route. */
struct service_profile *
routing_table_find_service(const struct routing_table *table, const char *name)
{
	return visible_value(
	    table, g_hash_table_lookup(table->content->services.slots, name));
}

/*
 * Finds the organisation that an API key belongs to; NULL if there is none.
 * Borrowed like a route.
 */
struct organisation *
routing_table_find_organisation(
    const struct routing_table *table, const char *key)
{
	return visible_value(
	    table, g_hash_table_lookup(table->content->keys.slots, key));
}

/*
 * Finds an organisation with an API key by its name, among all keys; NULL if
 * there is none. Borrowed like a route.
 */
struct organisation *
routing_table_find_named(const struct routing_table *table, const char *name)
{
	GHashTableIter iter;
	void *slot;

	g_hash_table_iter_init(&iter, table->content->keys.slots);
	while (g_hash_table_iter_next(&iter, NULL, &slot)) {
		struct organisation *organisation = visible_value(table, slot);

		if (organisation != NULL &&
		    strcmp(organisation->name, name) == 0)
			return organisation;
	}
	return NULL;
}
