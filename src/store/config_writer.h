/*
 * Updates of the stored configuration: read, change, conditional write. Each
 * write adds its operation id to the document. If the response is lost, the
 * object is read again: its id shows whether the write was stored.
 */
#ifndef STORE_CONFIG_WRITER_H
#define STORE_CONFIG_WRITER_H

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "heatherturn/v1/operator.pb-c.h"
#include "peer/documents.h"
#include "store/store.h"

#define CONFIG_WRITE_ERROR (config_write_error_quark())

/* Timeout of a whole write, with all its retries. */
#define CONFIG_WRITE_TIMEOUT_MS 5000
/* Number of recent writes whose ids the document contains. */
#define CONFIG_RECENT_OPERATIONS_MAX 64

enum config_write_error {
	CONFIG_WRITE_ERROR_TOO_LARGE, /* for the store; nothing was stored */
	CONFIG_WRITE_ERROR_CONFLICT, /* with too many others; nothing stored */
	CONFIG_WRITE_ERROR_UNAVAILABLE, /* nothing was stored */
	CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN, /* it may have been stored */
	CONFIG_WRITE_ERROR_MALFORMED, /* object or response not understood */
};

struct config_writer;
struct config_write;

struct config_write_ops {
	/*
	 * Changes the document, whose version is already set to that of the
	 * coming write. Members must be allocated for protobuf-c's default
	 * allocator. May be called again with a newer document after a
	 * conflict. Returning false with an error, of any domain, ends the
	 * write without storing anything.
	 */
	bool (*change)(
	    void *data, Heatherturn__V1__ConfigDocument *, GError **);
	/*
	 * Called at the end. The error is NULL, a CONFIG_WRITE_ERROR, or the
	 * one that change() set. The version is that of the write, or after a
	 * failure the newest one that was read.
	 */
	void (*done)(void *data, const GError *, uint64_t version,
	    int64_t retry_after_ms);
};

GQuark config_write_error_quark(void);
struct config_writer *config_writer_new(
    struct ev_loop *, struct clock *, struct store *, struct documents *);
void config_writer_free(struct config_writer *);
void config_writer_tick(struct config_writer *);
struct config_write *config_write_start(
    struct config_writer *, const struct config_write_ops *, void *data);
void config_write_cancel(struct config_write *);

#endif
