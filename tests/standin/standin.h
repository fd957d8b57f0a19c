/*
 * Common part of the stand-ins: event loop, HTTP server, options, shutdown on a
 * signal, and responses that may be sent after a delay.
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <stdint.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/httpd.h"

#define STANDIN_BODY_MAX_BYTES	 (size_t)(64 * 1024 * 1024)
#define STANDIN_BODIES_MAX_BYTES (size_t)(1024 * 1024 * 1024)

struct standin_program {
	const char *name;
	const char *summary;
	const GOptionEntry *options;
	void (*start)(struct ev_loop *);
	void (*stop)(void);
	void (*request)(struct httpd_request *);
	/* The two below may be NULL. */
	void (*closed)(struct httpd_request *, bool complete);
	void (*drained)(struct httpd_request *);
};

/* A prepared response, sent later; stored as the request's data. */
struct standin_response {
	struct ev_timer timer;
	struct httpd_request *request;
	int status;
	bool abort_connection; /* instead of responding */
	char etag[32]; /* empty for none */
	int retry_after_s; /* 0 for none */
	void *body;
	size_t length;
};

int standin_main(const struct standin_program *, int argc, char **argv);
struct ev_loop *standin_loop(void);
int standin_port(void);
int64_t standin_wall_ms(void);
double standin_now_s(void);
GRand *standin_random(void);
bool standin_chance(double percent);

json_t *standin_body_json(struct httpd_request *);
int64_t standin_query_number(
    struct httpd_request *, const char *name, int64_t default_value);
void standin_respond_json(struct httpd_request *, int status, json_t *);
void standin_respond_error(
    struct httpd_request *, int status, const char *type, const char *message);
void standin_respond_later(struct standin_response *, int64_t delay_ms);
void standin_response_cancel(struct httpd_request *);
json_t *standin_history_json(const GPtrArray *);
void standin_history_add(GPtrArray *, json_t *, guint max);

#endif
