#include "gateway/registry.h"

#include <string.h>

#include "platform/decode.h"

#define LOG_MODULE "registry"
#include "base/log.h"

struct registry {
	struct ev_loop *loop;
	struct object_store *store;
	struct object_store_observer observer;
	struct mesh *mesh;
	const struct link_identity *self;
	GHashTable *domains; /* address -> failure domain, of gateways */
	struct object_store_call *call;
	ev_timer timer;
	GPtrArray *addresses; /* of other gateways, from the current read */
	GPtrArray *others; /* addresses from the last complete read, or NULL */
	GHashTable *listed; /* set of their names */
	GHashTable *names; /* set of names, from the current read */
	GPtrArray *kept; /* addresses known before a restore; NULL for none */
	char *page_token; /* last name of the previous page */
	bool registered; /* our object is in the store */
	uint32_t count; /* gateways in the last list */
	uint32_t reads; /* completed */
};

static void read_list(struct registry *);

/* Schedules the next read of the list. */
static void
schedule_read(struct registry *registry, int64_t wait_ms)
{
	ev_timer_stop(registry->loop, &registry->timer);
	ev_timer_set(&registry->timer, (double)wait_ms / MS_PER_S, 0.0);
	ev_timer_start(registry->loop, &registry->timer);
}

/* Returns the time to the next read: shorter while others may be starting. */
static int64_t
read_interval_ms(const struct registry *registry)
{
	return registry->reads < REGISTRY_STARTUP_READS
	    ? REGISTRY_STARTUP_READ_MS
	    : REGISTRY_READ_MS;
}

/* Handles the result of writing our object. */
static void
on_replaced(void *data, const struct object_store_response *page)
{
	struct registry *registry = data;

	registry->call = NULL;
	registry->registered = page->error == NULL;
	if (page->error != NULL)
		LOG_WARN("could not register the gateway", "{s:s}", "why",
		    page->error->message);
	schedule_read(registry,
	    registry->registered ? read_interval_ms(registry)
				 : REGISTRY_RETRY_MS);
}

/* Handles the result of creating our object; replaces an existing one. */
static void
on_created(void *data, const struct object_store_response *page)
{
	struct registry *registry = data;
	json_t *spec;

	if (page->error != NULL &&
	    g_error_matches(
		page->error, OBJECT_STORE_ERROR, OBJECT_STORE_ERROR_CONFLICT)) {
		spec = decode_gateway_spec(
		    registry->self->address, registry->self->failure_domain);
		registry->call = object_store_replace(registry->store,
		    DECODE_KIND_GATEWAYS, registry->self->process, spec,
		    on_replaced, registry);
		json_decref(spec);
		return;
	}
	on_replaced(registry, page);
}

/* Creates our object in the store. */
static void
create_own_object(struct registry *registry)
{
	json_t *spec = decode_gateway_spec(
	    registry->self->address, registry->self->failure_domain);

	registry->call = object_store_create(registry->store,
	    DECODE_KIND_GATEWAYS, registry->self->process, spec, on_created,
	    registry);
	json_decref(spec);
}

/*
 * Adds the gateways known before a restore to a list that may lack them, until
 * they have had time to register again.
 */
static void
add_kept_peers(struct registry *registry)
{
	if (registry->kept == NULL)
		return;
	for (guint i = 0; i < registry->kept->len; i++) {
		const char *address = registry->kept->pdata[i];

		if (!g_ptr_array_find_with_equal_func(
			registry->addresses, address, g_str_equal, NULL))
			g_ptr_array_add(registry->addresses, g_strdup(address));
	}
	if (registry->reads < REGISTRY_STARTUP_READS)
		return;
	g_ptr_array_unref(registry->kept);
	registry->kept = NULL;
}

/* Tells the mesh which of the peers are in the failure domain of this one. */
static void
set_near_peers(struct registry *registry)
{
	g_autoptr(GPtrArray) near = g_ptr_array_new();

	for (guint i = 0; i < registry->addresses->len; i++) {
		char *address = registry->addresses->pdata[i];

		if (g_strcmp0(registry_failure_domain(registry, address),
			registry->self->failure_domain) == 0)
			g_ptr_array_add(near, address);
	}
	mesh_set_near(
	    registry->mesh, (const char *const *)near->pdata, near->len);
}

/* Sets the peers from a complete list, then registers or schedules a read. */
static void
apply_gateway_list(struct registry *registry)
{
	registry->reads++;
	add_kept_peers(registry);
	registry->count = registry->addresses->len + 1;
	if (registry->others != NULL)
		g_ptr_array_unref(registry->others);
	registry->others = g_ptr_array_ref(registry->addresses);
	g_hash_table_unref(registry->listed);
	registry->listed = g_hash_table_ref(registry->names);
	mesh_set_peers(registry->mesh, MESH_SOURCE_HOSTS,
	    (const char *const *)registry->addresses->pdata,
	    registry->addresses->len);
	set_near_peers(registry);
	g_clear_pointer(&registry->page_token, g_free);
	if (registry->registered)
		schedule_read(registry, read_interval_ms(registry));
	else
		create_own_object(registry);
}

/* Adds a gateway of the list, which may be this one. */
static void
add_gateway(struct registry *registry, const char *name, const char *address,
    const char *failure_domain)
{
	const struct link_identity *self = registry->self;

	if (strcmp(address, self->address) == 0) {
		registry->registered |= strcmp(name, self->process) == 0;
		return;
	}
	if (strcmp(name, self->process) == 0)
		return;
	g_ptr_array_add(registry->addresses, g_strdup(address));
	g_hash_table_add(registry->names, g_strdup(name));
	if (failure_domain != NULL)
		g_hash_table_replace(registry->domains, g_strdup(address),
		    g_strdup(failure_domain));
}

/* Handles one page of the list. */
static void
on_gateway_list_page(void *data, const struct object_store_response *page)
{
	struct registry *registry = data;
	json_t *item;
	g_autofree char *before = g_strdup(registry->page_token);
	size_t i;

	registry->call = NULL;
	if (page->error != NULL || page->items == NULL) {
		LOG_INFO("could not read the list of gateways", "{s:s, s:i}",
		    "why",
		    page->error != NULL ? page->error->message
					: "list without items",
		    "known", (int)registry->count);
		g_clear_pointer(&registry->page_token, g_free);
		schedule_read(registry, REGISTRY_RETRY_MS);
		return;
	}
	json_array_foreach (page->items, i, item) {
		const char *name = object_name(item);
		const char *address = decode_gateway_address(item);

		if (name == NULL)
			continue;
		g_free(registry->page_token);
		registry->page_token = g_strdup(name);
		if (address == NULL) {
			LOG_WARN("invalid gateway object skipped", "{s:s}",
			    "gateway", name);
			continue;
		}
		add_gateway(registry, name, address,
		    decode_gateway_failure_domain(item));
	}
	if (!page->more) {
		apply_gateway_list(registry);
	} else if (g_strcmp0(before, registry->page_token) != 0) {
		read_list(registry);
	} else {
		LOG_WARN("page of the list of gateways without a readable name",
		    "{s:s?}", "after", before);
		g_clear_pointer(&registry->page_token, g_free);
		schedule_read(registry, REGISTRY_RETRY_MS);
	}
}

/* Returns an empty set of names. */
static GHashTable *
new_name_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Requests the next page of the list, or the first one. */
static void
read_list(struct registry *registry)
{
	if (registry->page_token == NULL) {
		if (registry->addresses != NULL)
			g_ptr_array_unref(registry->addresses);
		registry->addresses = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_unref(registry->names);
		registry->names = new_name_set();
	}
	registry->call = object_store_list(registry->store,
	    DECODE_KIND_GATEWAYS, registry->page_token, registry->registered,
	    on_gateway_list_page, registry);
}

/* Starts a read of the list. */
static void
on_read_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	read_list(timer->data);
}

/* Copies an address. */
static gpointer
copy_address(gconstpointer address, gpointer data)
{
	return g_strdup(address);
}

/* Registers again, and reads the list as often as after a start. */
static void
on_restored(void *data, uint64_t era)
{
	struct registry *registry = data;

	if (registry->call != NULL)
		object_store_call_cancel(registry->call);
	registry->call = NULL;
	g_clear_pointer(&registry->page_token, g_free);
	if (registry->kept == NULL && registry->others != NULL)
		registry->kept = g_ptr_array_copy(
		    registry->others, copy_address, NULL);
	registry->registered = false;
	registry->reads = 0;
	LOG_INFO("registering again in the restored store", "{s:I, s:i}", "era",
	    (json_int_t)era, "peers", (int)registry->count - 1);
	schedule_read(registry, object_store_random_delay_ms(registry->store));
}

/*
 * Registers a gateway, which accepts peer links at its address, and starts to
 * discover others. Its identity must outlive the registry.
 */
struct registry *
registry_new(struct ev_loop *loop, struct object_store *store,
    struct mesh *mesh, const struct link_identity *self)
{
	struct registry *registry = g_new0(struct registry, 1);

	registry->loop = loop;
	registry->store = store;
	registry->mesh = mesh;
	registry->self = self;
	registry->domains = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	registry->listed = new_name_set();
	registry->names = new_name_set();
	ev_timer_init(&registry->timer, on_read_timer, 0.0, 0.0);
	registry->timer.data = registry;
	registry->observer = (struct object_store_observer){
	    .restored = on_restored, .data = registry};
	object_store_observe(store, &registry->observer);
	read_list(registry);
	return registry;
}

/* Stops discovery; our object stays in the store. NULL is allowed. */
void
registry_free(struct registry *registry)
{
	if (registry == NULL)
		return;
	if (registry->call != NULL)
		object_store_call_cancel(registry->call);
	object_store_unobserve(registry->store, &registry->observer);
	ev_timer_stop(registry->loop, &registry->timer);
	if (registry->addresses != NULL)
		g_ptr_array_unref(registry->addresses);
	if (registry->others != NULL)
		g_ptr_array_unref(registry->others);
	if (registry->kept != NULL)
		g_ptr_array_unref(registry->kept);
	g_free(registry->page_token);
	g_hash_table_unref(registry->listed);
	g_hash_table_unref(registry->names);
	g_hash_table_unref(registry->domains);
	g_free(registry);
}

/* Returns whether the list has been read completely. */
bool
registry_has_list(const struct registry *registry)
{
	return registry->others != NULL;
}

/* Returns whether another gateway is in the last complete list. */
bool
registry_is_listed(const struct registry *registry, const char *name)
{
	return g_hash_table_contains(registry->listed, name);
}

/* Returns the number of gateways among which shared limits are divided. */
uint32_t
registry_count(const struct registry *registry)
{
	if (registry->reads < REGISTRY_STARTUP_READS)
		return MAX(registry->count, REGISTRY_STARTUP_COUNT);
	return registry->count;
}

/* Returns the failure domain of a gateway; NULL if it is not known. */
const char *
registry_failure_domain(const struct registry *registry, const char *address)
{
	return g_hash_table_lookup(registry->domains, address);
}

/*
 * Returns the addresses of the other gateways in the last complete list, valid
 * until the next read.
 */
const char *const *
registry_others(const struct registry *registry, size_t *count)
{
	*count = registry->others == NULL ? 0 : registry->others->len;
	return *count == 0 ? NULL
			   : (const char *const *)registry->others->pdata;
}
