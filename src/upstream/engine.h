/* Dialect of model engines: shared by engine.c and engine_run.c. */
#ifndef UPSTREAM_ENGINE_H
#define UPSTREAM_ENGINE_H

#include "base/list.h"
#include "upstream/json_client.h"
#include "upstream/upstream.h"

/* Timeout of calls other than streams, cache polls and status polls. */
#define ENGINE_CALL_TIMEOUT_MS 2000

struct engine_run;

struct engine {
	struct upstream upstream;
	struct http_client *http;
	struct json_client *json;
	char *url;
	uint64_t start_count; /* as last reported; 0 before */
	TAILQ_HEAD(engine_runs, engine_run) runs;
};

struct upstream_call *engine_run_start(struct upstream *,
    const struct upstream_request *, const struct upstream_call_ops *,
    void *data);
struct upstream_call *engine_run_resume(struct upstream *, const char *id,
    uint64_t after, const struct upstream_call_ops *, void *data);
void engine_run_pause(struct upstream_call *, bool on);
bool engine_run_drop(struct upstream_call *);
void engine_runs_drop(struct engine *);
void engine_status(struct upstream *, upstream_status_fn *, void *data);

#endif
