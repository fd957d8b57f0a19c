/*
 * Changes to the configuration object: read, change, conditional update. A lost
 * answer is read back and told by the operation's id, so that the outcome is
 * named truly: stored, conflict, unavailable, or unknown.
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

/* A write ends within this time, whatever the store does. */
#define CONFIG_WRITE_TIMEOUT_MS 5000
/* Ids of the last writes that the document keeps. */
#define CONFIG_RECENT_OPERATIONS_MAX 64

enum config_write_error {
	CONFIG_WRITE_ERROR_TOO_LARGE, /* the change function refused; its error
				       */
	CONFIG_WRITE_ERROR_CONFLICT, /* others wrote first, again and again */
	CONFIG_WRITE_ERROR_UNAVAILABLE, /* nothing was stored */
	CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN, /* may or may not have been stored
					     */
	CONFIG_WRITE_ERROR_MALFORMED, /* the stored object is no configuration
				       */
};

struct config_writer;
struct config_write;

struct config_write_ops {
	/*
	 * Changes the document, whose version is already that of the write to
	 * come; allocations as protobuf-c's default allocator frees them. May
	 * be called again on a newer document after a conflict. False with an
	 * error of the caller's own domain ends the write: nothing is stored.
	 */
	bool (*change)(
	    void *data, Heatherturn__V1__ConfigDocument *, GError **);
	/*
	 * The end. Error is NULL, CONFIG_WRITE_ERROR, or what change() set.
	 * Version is that of the write, or on a failure the newest one seen.
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
