#include "gateway/registry.h"

#include <string.h>

#include "platform/decode.h"

#define LOG_MODULE "registry"
#include "base/log.h"

struct registry {
	struct ev_loop *loop;
	struct object_store *store;
	struct mesh *mesh;
	char *name;
	char *address;
	struct object_store_call *call;
	ev_timer timer;
	GPtrArray *addresses; /* of the others, of the list under way */
	char *after; /* last name of its last page */
	bool written; /* our own object stands */
	uint32_t count; /* gateways in the last list */
	uint32_t reads; /* of whole lists */
};

static void read_list(struct registry *);

/* Goes on after a time. */
static void
go_on_in(struct registry *registry, int64_t wait_ms)
{
	ev_timer_stop(registry->loop, &registry->timer);
	ev_timer_set(&registry->timer, (double)wait_ms / MS_PER_S, 0.0);
	ev_timer_start(registry->loop, &registry->timer);
}

/* Says when to read the list again: soon while others may still start. */
static int64_t
read_pause_ms(const struct registry *registry)
{
	return registry->reads < REGISTRY_SETTLED_READS ? REGISTRY_START_MS
							: REGISTRY_READ_MS;
}

/* Takes what came of replacing our object. */
static void
take_replaced(void *data, const struct object_store_response *page)
{
	struct registry *registry = data;

	registry->call = NULL;
	registry->written = page->error == NULL;
	if (page->error != NULL)
		LOG_WARN("gateway not registered", "{s:s}", "why",
		    page->error->message);
	go_on_in(registry,
	    registry->written ? read_pause_ms(registry) : REGISTRY_RETRY_MS);
}

/* Takes what came of creating our object; an older one is replaced. */
static void
take_created(void *data, const struct object_store_response *page)
{
	struct registry *registry = data;
	json_t *spec;

	if (page->error != NULL &&
	    g_error_matches(
		page->error, OBJECT_STORE_ERROR, OBJECT_STORE_ERROR_CONFLICT)) {
		spec = decode_gateway_spec(registry->address);
		registry->call = object_store_replace(registry->store,
		    DECODE_KIND_GATEWAYS, registry->name, spec, take_replaced,
		    registry);
		json_decref(spec);
		return;
	}
	take_replaced(registry, page);
}

/* Writes our object. */
static void
write_own(struct registry *registry)
{
	json_t *spec = decode_gateway_spec(registry->address);

	registry->call = object_store_create(registry->store,
	    DECODE_KIND_GATEWAYS, registry->name, spec, take_created, registry);
	json_decref(spec);
}

/* Puts a whole list to use. */
static void
finish_list(struct registry *registry)
{
	registry->reads++;
	registry->count = registry->addresses->len + 1;
	mesh_set_peers(registry->mesh, MESH_SOURCE_HOSTS,
	    (const char *const *)registry->addresses->pdata,
	    registry->addresses->len);
	g_clear_pointer(&registry->after, g_free);
	if (registry->written)
		go_on_in(registry, read_pause_ms(registry));
	else
		write_own(registry);
}

/* Takes one page of the list. */
static void
take_list(void *data, const struct object_store_response *page)
{
	struct registry *registry = data;
	json_t *item;
	size_t i;

	registry->call = NULL;
	if (page->error != NULL || page->items == NULL) {
		g_clear_pointer(&registry->after, g_free);
		go_on_in(registry, REGISTRY_RETRY_MS);
		return;
	}
	json_array_foreach (page->items, i, item) {
		const char *name = object_name(item);
		const char *address = decode_gateway_address(item);

		if (name == NULL || address == NULL)
			continue;
		g_free(registry->after);
		registry->after = g_strdup(name);
		if (strcmp(address, registry->address) == 0)
			registry->written |= strcmp(name, registry->name) == 0;
		else if (strcmp(name, registry->name) != 0)
			g_ptr_array_add(registry->addresses, g_strdup(address));
	}
	if (page->more)
		read_list(registry);
	else
		finish_list(registry);
}

/* Asks for the next page of the list. */
static void
read_list(struct registry *registry)
{
	if (registry->after == NULL) {
		if (registry->addresses != NULL)
			g_ptr_array_unref(registry->addresses);
		registry->addresses = g_ptr_array_new_with_free_func(g_free);
	}
	registry->call = object_store_list(registry->store,
	    DECODE_KIND_GATEWAYS, registry->after, registry->written, take_list,
	    registry);
}

/* The time to read the list has come. */
static void
timer_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	read_list(timer->data);
}

/* Registers a gateway that takes links at an address, and finds the others. */
struct registry *
registry_new(struct ev_loop *loop, struct object_store *store,
    struct mesh *mesh, const char *name, const char *address)
{
	struct registry *registry = g_new0(struct registry, 1);

	registry->loop = loop;
	registry->store = store;
	registry->mesh = mesh;
	registry->name = g_strdup(name);
	registry->address = g_strdup(address);
	ev_timer_init(&registry->timer, timer_due, 0.0, 0.0);
	registry->timer.data = registry;
	read_list(registry);
	return registry;
}

/* Stops looking for others; our object stays. NULL is allowed. */
void
registry_free(struct registry *registry)
{
	if (registry == NULL)
		return;
	if (registry->call != NULL)
		object_store_call_cancel(registry->call);
	ev_timer_stop(registry->loop, &registry->timer);
	if (registry->addresses != NULL)
		g_ptr_array_unref(registry->addresses);
	g_free(registry->after);
	g_free(registry->name);
	g_free(registry->address);
	g_free(registry);
}

/* Returns how many gateways share the limits that hold over all of them. */
uint32_t
registry_count(const struct registry *registry)
{
	if (registry->reads < REGISTRY_SETTLED_READS)
		return MAX(registry->count, REGISTRY_ASSUMED_COUNT);
	return registry->count;
}
