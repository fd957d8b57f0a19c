/*
 * The callers' side of an entry: who is asking, what for, by when, and which
 * part of the entry answers.
 */
#ifndef ENTRY_FRONT_H
#define ENTRY_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/httpd.h"
#include "caller/failure.h"
#include "entry/dispatch.h"
#include "store/claims.h"

/* A deadline that neither the caller nor the service sets. */
#define DEADLINE_SHORT_MS 30000
#define DEADLINE_LONG_MS  600000
/* The longest deadline that a caller may ask for. */
#define DEADLINE_MAX_MS 3600000
/* Prompts from here on are long where the service does not say. */
#define LONG_THRESHOLD_TOKENS 32768
/* Answers are this long at the most where neither says. */
#define OUTPUT_DEFAULT_TOKENS 256

struct front;

/* What answers one request; made by front.c and handed to its handler. */
struct front_request {
	struct httpd_request *http;
	char id[REQUEST_ID_SIZE];
	const Heatherturn__V1__Organisation *organisation; /* borrowed */
	struct timespec arrived;
};

/* The owner of an open answer; the first member of what httpd gives back. */
struct front_owner {
	void (*closed)(struct front_owner *, bool whole);
	void (*drained)(struct front_owner *);
};

struct front_settings {
	struct dispatch *dispatch;
	struct claims *claims; /* NULL where no platform is set */
	struct httpd_settings httpd;
	/* Whether this process is ready for new work. */
	bool (*ready)(void *data);
	void *data;
};

struct front *front_new(const struct front_settings *, GError **);
void front_free(struct front *);
int front_port(const struct front *);
void front_leave(struct front *);
void front_close(struct front *);
bool front_reload_certificate(struct front *, GError **);
size_t front_open_requests(const struct front *);
struct dispatch *front_dispatch(const struct front *);
struct claims *front_claims(const struct front *);

bool front_may_call(
    const struct front_request *, const Heatherturn__V1__Service *);
bool front_deadline(const struct front_request *, int64_t default_ms,
    struct timespec *, GError **);
void front_answer(struct httpd_request *, const char *id, int status,
    const char *content_type, const void *, size_t length);
void front_refuse(struct httpd_request *, const char *id, const GError *,
    int64_t retry_after_ms);
void front_refuse_code(struct httpd_request *, const char *id,
    enum caller_error, int64_t retry_after_ms, const char *why);

#endif
