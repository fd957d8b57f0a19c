#include "fake_store.h"

#include <stdlib.h>
#include <string.h>

#include "base/list.h"

struct object {
	uint64_t version;
	GByteArray *value; /* NULL where deleted */
};

struct store_call {
	struct store_request request; /* key and value are copies */
	GByteArray *value;
	int forced_error; /* error to report; NO_ERROR for the real result */
	bool has_effect;
	struct timespec effect_at;
	struct timespec response_at;
	bool responded;
	bool applied;
	store_done_fn *done; /* NULL when cancelled */
	void *data;
	/* Result of applying the request. */
	int code;
	uint64_t version;
	GByteArray *found;
	GArray *listed; /* struct store_list_item; keys borrowed */
	TAILQ_ENTRY(store_call) entry;
};

struct fake_store {
	struct store store;
	struct clock *clock;
	GRand *random;
	struct fake_faults faults;
	GHashTable *objects;
	unsigned int calls;
	TAILQ_HEAD(call_list, store_call) list;
};

#define NO_ERROR (-1)

static void
clear_value(struct object *object)
{
	if (object->value != NULL)
		g_byte_array_unref(object->value);
	object->value = NULL;
}

static void
free_object(void *data)
{
	struct object *object = data;

	clear_value(object);
	g_free(object);
}

static struct object *
get_object(struct fake_store *fake, const char *key)
{
	struct object *object = g_hash_table_lookup(fake->objects, key);

	if (object == NULL) {
		object = g_new0(struct object, 1);
		g_hash_table_insert(fake->objects, g_strdup(key), object);
	}
	return object;
}

static bool
chance(struct fake_store *fake, int percent)
{
	return g_rand_int_range(fake->random, 0, 100) < percent;
}

static int
draw_ms(struct fake_store *fake, int max_ms)
{
	return g_rand_int_range(fake->random, 0, max_ms + 1);
}

/* Draws the faults and latencies of a call. */
static void
draw_faults(struct fake_store *fake, struct store_call *call)
{
	const struct fake_faults *faults = &fake->faults;
	struct timespec now = clock_monotonic(fake->clock);
	bool write = call->request.verb == STORE_PUT ||
	    call->request.verb == STORE_DELETE;

	call->forced_error = NO_ERROR;
	call->has_effect = true;
	call->effect_at = time_add_ms(
	    now, draw_ms(fake, faults->latency_max_ms));
	call->response_at = time_add_ms(
	    call->effect_at, draw_ms(fake, faults->latency_max_ms));
	if (call->request.verb == STORE_GET && faults->get_error != 0) {
		call->forced_error = faults->get_error;
	} else if (call->request.verb == STORE_PUT && faults->put_error != 0) {
		call->forced_error = faults->put_error;
		call->has_effect = false;
	} else if (chance(fake, faults->unavailable_percent)) {
		call->forced_error = STORE_ERROR_UNAVAILABLE;
		call->has_effect = false;
	} else if (chance(fake, faults->rate_limited_percent)) {
		call->forced_error = STORE_ERROR_RATE_LIMITED;
		call->has_effect = false;
	} else if (write && chance(fake, faults->response_lost_percent)) {
		call->forced_error = STORE_ERROR_OUTCOME_UNKNOWN;
	} else if (write && chance(fake, faults->effect_delayed_percent)) {
		call->forced_error = STORE_ERROR_OUTCOME_UNKNOWN;
		call->effect_at = time_add_ms(
		    now, draw_ms(fake, faults->effect_delay_max_ms));
	} else if (write && chance(fake, faults->request_lost_percent)) {
		call->forced_error = STORE_ERROR_OUTCOME_UNKNOWN;
		call->has_effect = false;
	}
}

static struct store_call *
start(struct store *store, const struct store_request *request,
    store_done_fn *done, void *data)
{
	struct fake_store *fake = (struct fake_store *)store;
	struct store_call *call = g_new0(struct store_call, 1);

	fake->calls++;
	call->request = *request;
	call->request.key = g_strdup(request->key);
	call->request.after_key = g_strdup(request->after_key);
	call->value = g_byte_array_new();
	if (request->length > 0)
		g_byte_array_append(
		    call->value, request->value, (guint)request->length);
	call->done = done;
	call->data = data;
	draw_faults(fake, call);
	TAILQ_INSERT_TAIL(&fake->list, call, entry);
	return call;
}

static void
cancel(struct store *store, struct store_call *call)
{
	call->done = NULL;
}

static void
free_call(struct fake_store *fake, struct store_call *call)
{
	TAILQ_REMOVE(&fake->list, call, entry);
	g_free((char *)call->request.key);
	g_byte_array_unref(call->value);
	if (call->found != NULL)
		g_byte_array_unref(call->found);
	if (call->listed != NULL)
		g_array_unref(call->listed);
	g_free((char *)call->request.after_key);
	g_free(call);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Lists keys in order, up to the requested limit. */
static void
list(struct fake_store *fake, struct store_call *call)
{
	guint count;
	g_autofree gpointer *keys = g_hash_table_get_keys_as_array(
	    fake->objects, &count);

	qsort(keys, count, sizeof(*keys), compare_keys);
	call->listed = g_array_new(FALSE, TRUE, sizeof(struct store_list_item));
	for (guint i = 0; i < count; i++) {
		const struct object *object = get_object(fake, keys[i]);
		struct store_list_item entry = {keys[i], object->version};

		if (object->value == NULL ||
		    !g_str_has_prefix(keys[i], call->request.key) ||
		    (call->request.after_key != NULL &&
			strcmp(keys[i], call->request.after_key) <= 0) ||
		    call->listed->len >= call->request.limit)
			continue;
		g_array_append_val(call->listed, entry);
	}
}

/* Applies a write, or looks up what a read returns. */
static void
apply_effect(struct fake_store *fake, struct store_call *call)
{
	struct object *object;
	uint64_t current;

	call->applied = true;
	call->code = NO_ERROR;
	if (call->request.verb == STORE_LIST) {
		list(fake, call);
		return;
	}
	object = get_object(fake, call->request.key);
	current = object->value != NULL ? object->version : 0;
	call->version = current;
	if (call->request.verb == STORE_GET) {
		if (object->value == NULL)
			call->code = STORE_ERROR_NOT_FOUND;
		else
			call->found = g_byte_array_ref(object->value);
		return;
	}
	if (call->request.version != current) {
		call->code = STORE_ERROR_CONFLICT;
		return;
	}
	if (call->request.verb == STORE_DELETE && current == 0) {
		call->code = STORE_ERROR_NOT_FOUND;
		return;
	}
	clear_value(object);
	if (call->request.verb == STORE_PUT)
		object->value = g_byte_array_ref(call->value);
	call->version = ++object->version;
}

static void
respond(struct store_call *call)
{
	struct store_result result = {.version = call->version};
	int code = call->forced_error != NO_ERROR ? call->forced_error
						  : call->code;
	g_autoptr(GError) error = NULL;

	call->responded = true;
	if (call->done == NULL)
		return;
	if (code != NO_ERROR) {
		error = g_error_new(STORE_ERROR, code, "fake");
		result.error = error;
		result.retry_after_ms = code == STORE_ERROR_RATE_LIMITED ? 1000
									 : 0;
	} else if (call->listed != NULL) {
		result.listed = (const struct store_list_item *)(void *)
				    call->listed->data;
		result.listed_count = call->listed->len;
	} else if (call->found != NULL) {
		result.value = call->found->data;
		result.length = call->found->len;
	}
	call->done(call->data, &result);
}

/* Applies requests and reports results that are due. */
void
fake_store_run(struct store *store)
{
	struct fake_store *fake = (struct fake_store *)store;
	struct timespec now = clock_monotonic(fake->clock);
	struct store_call *call, *next;

	TAILQ_FOREACH_SAFE (call, &fake->list, entry, next) {
		if (call->has_effect && !call->applied &&
		    !time_before(now, call->effect_at))
			apply_effect(fake, call);
	}
	for (call = TAILQ_FIRST(&fake->list); call != NULL; call = next) {
		next = TAILQ_NEXT(call, entry);
		if (!call->responded && !time_before(now, call->response_at) &&
		    (call->applied || call->forced_error != NO_ERROR)) {
			respond(call);
			next = TAILQ_NEXT(call, entry);
		}
		if (call->responded && (call->applied || !call->has_effect))
			free_call(fake, call);
	}
}

static void
free_store(struct store *store)
{
	struct fake_store *fake = (struct fake_store *)store;

	while (!TAILQ_EMPTY(&fake->list))
		free_call(fake, TAILQ_FIRST(&fake->list));
	g_hash_table_unref(fake->objects);
	g_free(fake);
}

static const struct store_ops fake_ops = {
    .start = start,
    .cancel = cancel,
    .free = free_store,
};

/* Makes a store without faults; does not own the clock and random source. */
struct store *
fake_store_new(struct clock *clock, GRand *random)
{
	struct fake_store *fake = g_new0(struct fake_store, 1);

	fake->store.ops = &fake_ops;
	fake->clock = clock;
	fake->random = random;
	fake->objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_object);
	TAILQ_INIT(&fake->list);
	return &fake->store;
}

void
fake_store_set_faults(struct store *store, const struct fake_faults *faults)
{
	((struct fake_store *)store)->faults = *faults;
}

/* Writes at once and unconditionally, as another writer might. */
uint64_t
fake_store_put(
    struct store *store, const char *key, const void *value, size_t length)
{
	struct object *object = get_object((struct fake_store *)store, key);

	clear_value(object);
	object->value = g_byte_array_new();
	g_byte_array_append(object->value, value, (guint)length);
	return ++object->version;
}

const GByteArray *
fake_store_value(struct store *store, const char *key, uint64_t *version)
{
	struct object *object = get_object((struct fake_store *)store, key);

	*version = object->value != NULL ? object->version : 0;
	return object->value;
}

unsigned int
fake_store_call_count(const struct store *store)
{
	return ((const struct fake_store *)store)->calls;
}
