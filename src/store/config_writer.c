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
/* Operators' Retry-After if the platform sends none. */
#define RETRY_AFTER_MS 1000

struct config_write {
	struct config_writer *writer;
	const struct config_write_ops *ops;
	void *data;
	char operation[OPERATION_ID_SIZE];
	struct timespec timeout_at;
	uint64_t base_version; /* version that was changed */
	uint64_t newest_version; /* newest version that was read */
	uint8_t *bytes; /* the changed document; NULL before the change */
	size_t length;
	bool write_uncertain; /* a write at base_version may be stored */
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

INVARIANT_DEFINE(change_held, "accepted_change_held_at_once");

METRIC_DEFINE(stored_count, METRIC_COUNTER, "heatherturn_config_writes",
    "outcome=\"stored\"", "Changes of the configuration by outcome.");
METRIC_DEFINE(failed_count, METRIC_COUNTER, "heatherturn_config_writes",
    "outcome=\"failed\"", "Changes of the configuration by outcome.");
METRIC_DEFINE(unknown_count, METRIC_COUNTER, "heatherturn_config_writes",
    "outcome=\"unknown\"", "Changes of the configuration by outcome.");

G_DEFINE_QUARK(config_write_error, config_write_error)

static void read_object(struct config_write *);

/* Cancels a write's call and frees the write. */
static void
free_write(struct config_write *write)
{
	store_call_cancel(write->writer->store, write->call);
	TAILQ_REMOVE(&write->writer->writes, write, entry);
	g_free(write->bytes);
	g_free(write);
}

/* Reports a failed write and frees it. Takes ownership of the error. */
static void
finish_failed(struct config_write *write, GError *error, int64_t retry_after_ms)
{
	bool unknown = g_error_matches(
	    error, CONFIG_WRITE_ERROR, CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN);

	metric_add(unknown ? &unknown_count : &failed_count, 1);
	LOG_WARN("configuration not changed", "{s:s, s:s, s:b}", "operation",
	    write->operation, "reason", error->message, "unknown", unknown);
	write->ops->done(
	    write->data, error, write->newest_version, retry_after_ms);
	g_error_free(error);
	free_write(write);
}

/* Ends a write that may have been stored or not. */
static void
finish_unknown(struct config_write *write, int64_t retry_after_ms)
{
	finish_failed(write,
	    g_error_new_literal(CONFIG_WRITE_ERROR,
		CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN,
		"the platform's response was lost and the stored configuration "
		"could not be checked; the change may or may not have been "
		"stored"),
	    retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_MS);
}

/* Ends a write of which nothing was stored, with the store's reason. */
static void
finish_rejected(struct config_write *write, const struct store_result *result)
{
	int64_t retry_after_ms = result->retry_after_ms > 0
	    ? result->retry_after_ms
	    : RETRY_AFTER_MS;
	const char *why = result->error->message;
	GError *error;

	if (result->error->code == STORE_ERROR_UNAVAILABLE)
		error = g_error_new_literal(CONFIG_WRITE_ERROR,
		    CONFIG_WRITE_ERROR_UNAVAILABLE,
		    "the platform is unavailable; nothing was stored");
	else if (result->error->code == STORE_ERROR_RATE_LIMITED)
		error = g_error_new_literal(CONFIG_WRITE_ERROR,
		    CONFIG_WRITE_ERROR_UNAVAILABLE,
		    "the platform limits the rate of calls; nothing was "
		    "stored");
	else if (result->error->code == STORE_ERROR_TOO_LARGE)
		error = g_error_new(CONFIG_WRITE_ERROR,
		    CONFIG_WRITE_ERROR_TOO_LARGE,
		    "the configuration is above the platform's limit (%s); "
		    "nothing was stored",
		    why);
	else
		error = g_error_new(CONFIG_WRITE_ERROR,
		    CONFIG_WRITE_ERROR_MALFORMED,
		    "the platform's response was not understood (%s); nothing "
		    "was stored",
		    why);
	finish_failed(write, error,
	    error->code == CONFIG_WRITE_ERROR_UNAVAILABLE ? retry_after_ms : 0);
}

/*
 * Reports a stored write and sends the current document, which may include
 * later changes, to the peers at once.
 */
static void
finish_stored(struct config_write *write, uint64_t version,
    const uint8_t *bytes, size_t length)
{
	metric_add(&stored_count, 1);
	LOG_INFO("configuration changed", "{s:s, s:I}", "operation",
	    write->operation, "version", (json_int_t)(write->base_version + 1));
	documents_update(
	    write->writer->documents, DOCUMENT_CONFIG, version, bytes, length);
	invariant_check(&change_held,
	    documents_version(write->writer->documents, DOCUMENT_CONFIG) >=
		write->base_version + 1,
	    NULL, NULL);
	write->ops->done(write->data, NULL, write->base_version + 1, 0);
	free_write(write);
}

/* Schedules another read after a back-off, or ends the write at its timeout. */
static void
retry_read(struct config_write *write, int64_t retry_after_ms)
{
	struct config_writer *writer = write->writer;
	int64_t wait_ms = MIN(
	    (int64_t)RETRY_MS << MIN(write->tries, 8U), RETRY_MAX_MS);

	write->tries++;
	write->next_at = time_add_ms(
	    clock_monotonic(writer->clock), MAX(wait_ms, retry_after_ms));
	if (time_before(write->timeout_at, write->next_at)) {
		finish_unknown(write, retry_after_ms);
		return;
	}
	write->waiting = true;
	ev_timer_start(writer->loop, &writer->tick);
}

/* Returns whether a document contains the write's operation id. */
static bool
has_operation(const struct config_write *write,
    const Heatherturn__V1__ConfigDocument *document)
{
	for (size_t i = 0; i < document->n_recent_operations; i++) {
		if (strcmp(document->recent_operations[i], write->operation) ==
		    0)
			return true;
	}
	return false;
}

/* Adds the write's operation id; if the list is full, drops the oldest. */
static void
add_operation(
    const struct config_write *write, Heatherturn__V1__ConfigDocument *document)
{
	char **ids = document->recent_operations;
	size_t count = document->n_recent_operations;

	if (count >= CONFIG_RECENT_OPERATIONS_MAX) {
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

/* Encodes the changed document; false if it is too large to store. */
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
	g_set_error(error, CONFIG_WRITE_ERROR, CONFIG_WRITE_ERROR_TOO_LARGE,
	    "the configuration would have %zu bytes, above the platform's "
	    "limit of %d",
	    write->length, STORE_VALUE_MAX_BYTES);
	return false;
}

static void on_put_done(void *, const struct store_result *);

/* Writes the changed document if the key is still at base_version. */
static void
put_object(struct config_write *write)
{
	write->call = store_start(write->writer->store,
	    &(struct store_request){.verb = STORE_PUT,
		.key = CONFIG_KEY,
		.version = write->base_version,
		.value = write->bytes,
		.length = write->length},
	    on_put_done, write);
}

/* Applies the change to the current document and writes it. */
static void
change_and_put(struct config_write *write,
    Heatherturn__V1__ConfigDocument *document, uint64_t version)
{
	GError *error = NULL;

	write->base_version = version;
	write->write_uncertain = false;
	document->version = version + 1;
	if (!write->ops->change(write->data, document, &error)) {
		finish_failed(write, error, 0);
		return;
	}
	add_operation(write, document);
	if (pack(write, document, &error))
		put_object(write);
	else
		finish_failed(write, error, 0);
}

/*
 * Writes the document again with the version that the store assigned. The two
 * differ if the key had been deleted: its versions then continue from the last
 * one.
 */
static void
renumber(struct config_write *write, uint64_t version)
{
	Heatherturn__V1__ConfigDocument
	    *document = heatherturn__v1__config_document__unpack(
		NULL, write->length, write->bytes);
	GError *error = NULL;

	g_assert(document != NULL);
	write->base_version = version;
	write->write_uncertain = false;
	document->version = version + 1;
	if (pack(write, document, &error))
		put_object(write);
	else
		finish_failed(write, error, 0);
	heatherturn__v1__config_document__free_unpacked(document, NULL);
}

/* Handles the result of a write. */
static void
on_put_done(void *data, const struct store_result *result)
{
	struct config_write *write = data;

	write->call = NULL;
	if (result->error == NULL) {
		if (result->version == write->base_version + 1)
			finish_stored(write, result->version, write->bytes,
			    write->length);
		else
			renumber(write, result->version);
		return;
	}
	switch (result->error->code) {
	case STORE_ERROR_CONFLICT:
		if (!write->write_uncertain &&
		    ++write->conflicts >= CONFLICTS_MAX) {
			finish_failed(write,
			    g_error_new_literal(CONFIG_WRITE_ERROR,
				CONFIG_WRITE_ERROR_CONFLICT,
				"too many concurrent changes of the "
				"configuration; nothing was stored"),
			    RETRY_AFTER_MS);
			return;
		}
		read_object(write);
		break;
	case STORE_ERROR_OUTCOME_UNKNOWN:
		write->write_uncertain = true;
		retry_read(write, 0);
		break;
	default:
		if (write->write_uncertain)
			retry_read(write, result->retry_after_ms);
		else
			finish_rejected(write, result);
		break;
	}
}

/*
 * Handles the current document. If it contains our operation id, a write whose
 * response was lost has been stored. If it is still at base_version, an
 * uncertain write is sent again: should the first one arrive late, one of the
 * two fails. At a later version the first one can no longer succeed, and the
 * change is applied to the new document. If so many others wrote since that our
 * id may have been dropped, or the object went back, the outcome stays unknown.
 */
static void
handle_document(struct config_write *write,
    Heatherturn__V1__ConfigDocument *document,
    const struct store_result *result)
{
	write->newest_version = MAX(write->newest_version, result->version);
	if (write->bytes != NULL && has_operation(write, document))
		finish_stored(
		    write, result->version, result->value, result->length);
	else if (write->write_uncertain &&
	    result->version == write->base_version)
		put_object(write);
	else if (write->write_uncertain &&
	    (result->version < write->base_version ||
		result->version - write->base_version >=
		    CONFIG_RECENT_OPERATIONS_MAX))
		finish_unknown(write, 0);
	else
		change_and_put(write, document, result->version);
}

/* Handles the result of a read. An absent object is an empty document. */
static void
on_get_done(void *data, const struct store_result *result)
{
	static const uint8_t nothing[1];
	struct config_write *write = data;
	bool absent = g_error_matches(
	    result->error, STORE_ERROR, STORE_ERROR_NOT_FOUND);
	Heatherturn__V1__ConfigDocument *document;

	write->call = NULL;
	if (result->error != NULL && !absent) {
		if (write->write_uncertain)
			retry_read(write, result->retry_after_ms);
		else
			finish_rejected(write, result);
		return;
	}
	document = heatherturn__v1__config_document__unpack(NULL,
	    absent ? 0 : result->length,
	    result->value != NULL ? result->value : nothing);
	if (document == NULL) {
		finish_failed(write,
		    g_error_new_literal(CONFIG_WRITE_ERROR,
			CONFIG_WRITE_ERROR_MALFORMED,
			"the stored configuration can't be decoded"),
		    0);
		return;
	}
	handle_document(write, document, result);
	heatherturn__v1__config_document__free_unpacked(document, NULL);
}

/* Starts to read the current document. */
static void
read_object(struct config_write *write)
{
	write->waiting = false;
	write->call = store_start(write->writer->store,
	    &(struct store_request){.verb = STORE_GET, .key = CONFIG_KEY},
	    on_get_done, write);
}

/*
 * Starts all reads that are due. Called from a timer while any are waiting;
 * tests call it after they have advanced the clock.
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

/* Timer callback, each WRITER_TICK_MS while reads are waiting. */
static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	config_writer_tick(watcher->data);
}

/* Creates a writer; store and documents are borrowed. */
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

/* Cancels all writes without callbacks; NULL is allowed. */
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
 * Starts a write. The callbacks run from the event loop, never from within this
 * function. The write is freed after done().
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
	write->timeout_at = time_add_ms(
	    clock_monotonic(writer->clock), CONFIG_WRITE_TIMEOUT_MS);
	TAILQ_INSERT_TAIL(&writer->writes, write, entry);
	read_object(write);
	return write;
}

/* Cancels a write without a callback; what was sent may still take effect. */
void
config_write_cancel(struct config_write *write)
{
	free_write(write);
}
