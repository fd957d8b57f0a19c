/*
 * Shared declarations of the stand-in engine: its model, open requests that
 * wait for a response, and its records.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "base/http_client.h"
#include "engine_model.h"
#include "standin.h"

/* An open request that waits; stored as the request's data. */
struct pending_request {
	void (*closed)(struct pending_request *); /* the client disconnected */
};

/* State set by orders. */
struct engine_orders {
	char *model; /* empty if none is loaded */
	char *adapter;
	char *version;
	char *role;
	uint64_t fencing; /* highest of the applied orders */
	uint64_t stale_refused;
	uint64_t stale_applied;
	GPtrArray *log;
};

struct engine {
	struct engine_model model;
	struct engine_orders orders;
	struct http_client *http;
	bool ignore_fencing;
	uint64_t imports_missing;
	GPtrArray *run_starts;
};

extern struct engine engine;

/* engine.c */
void engine_schedule_step(void);
void engine_stall(double seconds);
void engine_slow(double factor, double seconds);
json_t *engine_status_json(void);

/* engine_streams.c */
void run_stream_start(struct run *, struct httpd_request *, uint64_t after);
void run_streams_on_progress(struct run *);
void run_streams_on_dropped(struct run *);
void run_stream_on_drained(struct httpd_request *);

/* engine_cache_events.c */
void cache_events_init(double lag_s, double gap_percent);
void cache_events_add(void *data, uint64_t hash, bool stored);
void cache_events_tick(double now_s);
void cache_events_respond(struct httpd_request *);
void cache_events_clear(void);

/* engine_imports.c */
typedef void imports_checked_fn(
    struct httpd_request *, json_t *body, uint64_t tokens);
void imports_check(struct httpd_request *, json_t *body, imports_checked_fn *);

/* engine_api.c */
void engine_on_request(struct httpd_request *);

#endif
