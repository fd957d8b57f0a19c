#include "store/config_writer.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/list.h"
#include "base/metrics.h"

#define LOG_MODULE "config"
#include "base/log.h"

#define CONFIG_KEY	  "config"
#define OPERATION_BYTES	  16
#define OPERATION_ID_SIZE (2 * OPERATION_BYTES + 1)
#define CONFLICTS_MAX	  16
#define RETRY_MS	  100
#define RETRY_MAX_MS	  1000
#define WRITER_TICK_MS	  20
/* What an operator is told when the platform names no wait. */
#define RETRY_AFTER_MS 1000

struct config_write {
	struct config_writer *writer;
	const struct config_write_ops *ops;
	void *data;
	char operation[OPERATION_ID_SIZE];
	struct timespec give_up_at;
	uint64_t base; /* version that the change was made on */
	uint64_t seen; /* newest version seen */
	uint8_t *bytes; /* the changed document; NULL before the change */
	size_t length;
	bool doubtful; /* a write at the base may have taken effect */
	unsigned int conflicts;
	unsigned int tries;
	bool waiting;
	struct timespec next_at;
	struct store_call *call;
	TAILQ_ENTRY(config_write) entry;
};

struct config_writer {
	struct ev_loop *loop;
	struct clock *clock;
	struct store *store;
	struct documents *documents;
	ev_timer tick;
	TAILQ_HEAD(config_write_list, config_write) writes;
};

INVARIANT_DEFINE(held_here, "accepted_change_held_at_once");

METRIC_DEFINE(stored_count, METRIC_COUNTER, "heatherturn_config_writes",
    "outcome=\"stored\"", "Changes of the configuration by outcome.");
METRIC_DEFINE(failed_count, METRIC_COUNTER, "heatherturn_config_writes",
    "outcome=\"failed\"", "Changes of the configuration by outcome.");
METRIC_DEFINE(unknown_count, METRIC_COUNTER, "heatherturn_config_writes",
    "outcome=\"unknown\"", "Changes of the configuration by outcome.");

G_DEFINE_QUARK(config_write_error, config_write_error)

static void read_object(struct config_write *);

/* Frees a write. */
static void
free_write(struct config_write *write)
{
	store_cancel(write->writer->store, write->call);
	TAILQ_REMOVE(&write->writer->writes, write, entry);
	g_free(write->bytes);
	g_free(write);
}

/* Ends a write that failed. Takes the error over. */
static void
end_failed(struct config_write *write, GError *error, int64_t retry_after_ms)
{
	bool unknown = g_error_matches(
	    error, CONFIG_WRITE_ERROR, CONFIG_WRITE_ERROR_UNKNOWN);

	metric_add(unknown ? &unknown_count : &failed_count, 1);
	LOG_WARN("configuration not changed", "{s:s, s:s, s:b}", "operation",
	    write->operation, "reason", error->message, "unknown", unknown);
	write->ops->done(write->data, error, write->seen, retry_after_ms);
	g_error_free(error);
	free_write(write);
}

/* Ends a write that the platform could not take in time. */
static void
end_unavailable(struct config_write *write, int64_t retry_after_ms)
{
	GError *error;

	if (write->doubtful)
		error = g_error_new_literal(CONFIG_WRITE_ERROR,
		    CONFIG_WRITE_ERROR_UNKNOWN,
		    "the platform's answer was lost and can't be read back; "
		    "the change may or may not be stored");
	else
		error = g_error_new_literal(CONFIG_WRITE_ERROR,
		    CONFIG_WRITE_ERROR_UNAVAILABLE,
		    "the platform does not answer; nothing was stored");
	end_failed(
	    write, error, retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_MS);
}

/*
 * Ends a write that is stored, and has the peers told at once of the document
 * as it is now, which others may have changed since.
 */
static void
end_stored(struct config_write *write, uint64_t version, const uint8_t *bytes,
    size_t length)
{
	metric_add(&stored_count, 1);
	LOG_INFO("configuration changed", "{s:s, s:I}", "operation",
	    write->operation, "version", (json_int_t)(write->base + 1));
	documents_update(
	    write->writer->documents, DOCUMENT_CONFIG, version, bytes, length);
	invariant_check(&held_here,
	    documents_version(write->writer->documents, DOCUMENT_CONFIG) >=
		write->base + 1,
	    NULL, NULL);
	write->ops->done(write->data, NULL, write->base + 1, 0);
	free_write(write);
}

/* Reads again after a wait, or gives up when the time is over. */
static void
read_later(struct config_write *write, int64_t retry_after_ms)
{
	struct config_writer *writer = write->writer;
	int64_t wait_ms = MIN(
	    (int64_t)RETRY_MS << MIN(write->tries, 8U), RETRY_MAX_MS);

	write->tries++;
	write->next_at = time_add_ms(
	    clock_monotonic(writer->clock), MAX(wait_ms, retry_after_ms));
	if (time_before(write->give_up_at, write->next_at)) {
		end_unavailable(write, retry_after_ms);
		return;
	}
	write->waiting = true;
	ev_timer_start(writer->loop, &writer->tick);
}

/* Says whether a document carries the write's operation id. */
static bool
holds_operation(const struct config_write *write,
    const Heatherturn__V1__ConfigDocument *document)
{
	for (size_t i = 0; i < document->n_recent_operations; i++) {
		if (strcmp(document->recent_operations[i], write->operation) ==
		    0)
			return true;
	}
	return false;
}

/* Adds the write's operation id; the oldest gives way. */
static void
add_operation(
    const struct config_write *write, Heatherturn__V1__ConfigDocument *document)
{
	char **ids = document->recent_operations;
	size_t count = document->n_recent_operations;

	if (count >= CONFIG_RECENT_OPERATIONS) {
		free(ids[0]);
		memmove(ids, ids + 1, (count - 1) * sizeof(*ids));
		count--;
	} else {
		ids = realloc(ids, (count + 1) * sizeof(*ids));
		g_assert(ids != NULL);
	}
	ids[count++] = strdup(write->operation);
	document->recent_operations = ids;
	document->n_recent_operations = count;
}

/* Packs the changed document; false where the platform would not take it. */
static bool
pack(struct config_write *write,
    const Heatherturn__V1__ConfigDocument *document, GError **error)
{
	g_free(write->bytes);
	write->length = heatherturn__v1__config_document__get_packed_size(
	    document);
	write->bytes = g_malloc(write->length + 1);
	heatherturn__v1__config_document__pack(document, write->bytes);
	if (write->length <= STORE_VALUE_MAX_BYTES)
		return true;
	g_set_error(error, CONFIG_WRITE_ERROR, CONFIG_WRITE_ERROR_REFUSED,
	    "the configuration would be %zu bytes, more than the platform's %d",
	    write->length, STORE_VALUE_MAX_BYTES);
	return false;
}

static void on_put(void *, const struct store_result *);

/* Writes the changed document if the key is still at the base. */
static void
put_object(struct config_write *write)
{
	write->call = store_start(write->writer->store,
	    &(struct store_request){.verb = STORE_PUT,
		.key = CONFIG_KEY,
		.version = write->base,
		.value = write->bytes,
		.length = write->length},
	    on_put, write);
}

/* Makes the change on a document as it is now, and writes it. */
static void
change_and_put(struct config_write *write,
    Heatherturn__V1__ConfigDocument *document, uint64_t version)
{
	GError *error = NULL;

	write->base = version;
	write->doubtful = false;
	document->version = version + 1;
	if (!write->ops->change(write->data, document, &error)) {
		end_failed(write, error, 0);
		return;
	}
	add_operation(write, document);
	if (pack(write, document, &error))
		put_object(write);
	else
		end_failed(write, error, 0);
}

/*
 * Writes the document again under the number that the platform gave it: a key
 * that was deleted goes on from its last version.
 */
static void
renumber(struct config_write *write, uint64_t version)
{
	Heatherturn__V1__ConfigDocument
	    *document = heatherturn__v1__config_document__unpack(
		NULL, write->length, write->bytes);
	GError *error = NULL;

	g_assert(document != NULL);
	write->base = version;
	write->doubtful = false;
	document->version = version + 1;
	if (pack(write, document, &error))
		put_object(write);
	else
		end_failed(write, error, 0);
	heatherturn__v1__config_document__free_unpacked(document, NULL);
}

/* The write was answered. */
static void
on_put(void *data, const struct store_result *result)
{
	struct config_write *write = data;

	write->call = NULL;
	if (result->error == NULL) {
		if (result->version == write->base + 1)
			end_stored(write, result->version, write->bytes,
			    write->length);
		else
			renumber(write, result->version);
		return;
	}
	switch (result->error->code) {
	case STORE_ERROR_CONFLICT:
		if (!write->doubtful && ++write->conflicts >= CONFLICTS_MAX) {
			end_failed(write,
			    g_error_new_literal(CONFIG_WRITE_ERROR,
				CONFIG_WRITE_ERROR_CONFLICT,
				"others changed the configuration first, "
				"again and again"),
			    RETRY_AFTER_MS);
			return;
		}
		read_object(write);
		break;
	case STORE_ERROR_UNKNOWN:
		write->doubtful = true;
		read_later(write, 0);
		break;
	default:
		if (write->doubtful)
			read_later(write, result->retry_after_ms);
		else
			end_unavailable(write, result->retry_after_ms);
		break;
	}
}

/*
 * Takes the document as it stands. Our operation in it means that a write whose
 * answer was lost is stored. At the base still, a write in doubt is made again:
 * should the first arrive late, one of them fails. At a later version it never
 * arrives any more, and the change is made anew.
 */
static void
take_document(struct config_write *write,
    Heatherturn__V1__ConfigDocument *document,
    const struct store_result *result)
{
	write->seen = MAX(write->seen, result->version);
	if (write->bytes != NULL && holds_operation(write, document))
		end_stored(
		    write, result->version, result->value, result->length);
	else if (write->doubtful && result->version == write->base)
		put_object(write);
	else if (write->doubtful &&
	    result->version - write->base >= CONFIG_RECENT_OPERATIONS)
		end_unavailable(write, 0);
	else
		change_and_put(write, document, result->version);
}

/* The read was answered. */
static void
on_get(void *data, const struct store_result *result)
{
	static const uint8_t nothing[1];
	struct config_write *write = data;
	bool absent = g_error_matches(
	    result->error, STORE_ERROR, STORE_ERROR_NOT_FOUND);
	Heatherturn__V1__ConfigDocument *document;

	write->call = NULL;
	if (result->error != NULL && !absent) {
		if (write->doubtful)
			read_later(write, result->retry_after_ms);
		else
			end_unavailable(write, result->retry_after_ms);
		return;
	}
	document = heatherturn__v1__config_document__unpack(NULL,
	    absent ? 0 : result->length,
	    result->value != NULL ? result->value : nothing);
	if (document == NULL) {
		end_failed(write,
		    g_error_new_literal(CONFIG_WRITE_ERROR,
			CONFIG_WRITE_ERROR_MALFORMED,
			"what the platform holds is no configuration"),
		    0);
		return;
	}
	take_document(write, document, result);
	heatherturn__v1__config_document__free_unpacked(document, NULL);
}

/* Reads the object as it is now. */
static void
read_object(struct config_write *write)
{
	write->waiting = false;
	write->call = store_start(write->writer->store,
	    &(struct store_request){.verb = STORE_GET, .key = CONFIG_KEY},
	    on_get, write);
}

/*
 * Makes the calls whose wait is over. The loop does this while there are any; a
 * test does it after it has moved the clock.
 */
void
config_writer_tick(struct config_writer *writer)
{
	struct timespec now = clock_monotonic(writer->clock);
	struct config_write *write, *next;
	bool waiting = false;

	TAILQ_FOREACH_SAFE (write, &writer->writes, entry, next) {
		if (!write->waiting)
			continue;
		if (time_before(now, write->next_at))
			waiting = true;
		else
			read_object(write);
	}
	if (!waiting)
		ev_timer_stop(writer->loop, &writer->tick);
}

/* Time to look at waits. */
static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	config_writer_tick(watcher->data);
}

/* Makes the writer; store and documents are borrowed. */
struct config_writer *
config_writer_new(struct ev_loop *loop, struct clock *clock,
    struct store *store, struct documents *documents)
{
	struct config_writer *writer = g_new0(struct config_writer, 1);

	writer->loop = loop;
	writer->clock = clock;
	writer->store = store;
	writer->documents = documents;
	TAILQ_INIT(&writer->writes);
	ev_timer_init(&writer->tick, on_tick, (double)WRITER_TICK_MS / MS_PER_S,
	    (double)WRITER_TICK_MS / MS_PER_S);
	writer->tick.data = writer;
	return writer;
}

/* Drops all writes without a callback; NULL is allowed. */
void
config_writer_free(struct config_writer *writer)
{
	struct config_write *write, *next;

	if (writer == NULL)
		return;
	ev_timer_stop(writer->loop, &writer->tick);
	TAILQ_FOREACH_SAFE (write, &writer->writes, entry, next)
		free_write(write);
	g_free(writer);
}

/*
 * Starts a change. The callbacks come from the loop, never from this call, and
 * the write is freed after done().
 */
struct config_write *
config_write_start(struct config_writer *writer,
    const struct config_write_ops *ops, void *data)
{
	struct config_write *write = g_new0(struct config_write, 1);
	uint8_t id[OPERATION_BYTES];

	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(
	    write->operation, sizeof(write->operation), id, sizeof(id));
	write->writer = writer;
	write->ops = ops;
	write->data = data;
	write->give_up_at = time_add_ms(
	    clock_monotonic(writer->clock), CONFIG_WRITE_MS);
	TAILQ_INSERT_TAIL(&writer->writes, write, entry);
	read_object(write);
	return write;
}

/* Drops a write without a callback; a write that has left may take effect. */
void
config_write_forget(struct config_write *write)
{
	free_write(write);
}
