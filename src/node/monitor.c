#include "node/monitor.h"

#include <string.h>

#include "base/httpd.h"
#include "base/invariant.h"
#include "base/metrics.h"

#define MONITOR_BODY_MAX_BYTES 1024

struct monitor {
	struct httpd *httpd;
	monitor_ready_fn *ready;
	void *data;
	monitor_serve_fn *serve; /* NULL for none */
	void *serve_data;
};

/* Responds with plain text. */
static void
respond(struct httpd_request *http, int status, const char *text)
{
	const struct http_header header = {
	    "Content-Type", "text/plain; charset=utf-8"};

	httpd_respond(http, status, &header, 1, text, strlen(text));
}

/* Responds with all metrics. */
static void
respond_metrics(struct httpd_request *http)
{
	g_autoptr(GString) text = g_string_new(NULL);

	metrics_write(text);
	invariants_write_metrics(text);
	respond(http, 200, text->str);
}

/* Serves one request to an endpoint. */
static void
on_request(void *data, struct httpd_request *http)
{
	struct monitor *monitor = data;
	const char *path = httpd_request_path(http);

	bool live = strcmp(path, "/livez") == 0;
	bool ready = strcmp(path, "/readyz") == 0;

	if (strcmp(path, "/metrics") == 0)
		respond_metrics(http);
	else if (!live && !ready && monitor->serve != NULL &&
	    monitor->serve(monitor->serve_data, http))
		return;
	else if (!live && !ready)
		respond(http, 404, "not found\n");
	else if (live || monitor->ready(monitor->data))
		respond(http, 200, "ok\n");
	else
		respond(http, 503, "not ready\n");
}

/* There is no state per request to free. */
static void
on_closed(void *data, struct httpd_request *http, bool complete)
{
}

static const struct httpd_ops ops = {
    .request = on_request,
    .closed = on_closed,
};

/* Serves the endpoints at HOST:PORT; NULL with HTTPD_ERROR on failure. */
struct monitor *
monitor_new(struct ev_loop *loop, const char *address, monitor_ready_fn *ready,
    void *data, GError **error)
{
	struct monitor *monitor = g_new0(struct monitor, 1);
	const struct httpd_settings settings = {
	    .address = address,
	    .body_max_bytes = MONITOR_BODY_MAX_BYTES,
	    .bodies_max_bytes = MONITOR_BODY_MAX_BYTES,
	    .is_monitor = true,
	};

	monitor->ready = ready;
	monitor->data = data;
	monitor->httpd = httpd_new(loop, &settings, &ops, monitor, error);
	if (monitor->httpd == NULL) {
		g_free(monitor);
		return NULL;
	}
	return monitor;
}

/* Sets what responds to requests for other paths. */
void
monitor_set_serve(struct monitor *monitor, monitor_serve_fn *serve, void *data)
{
	monitor->serve = serve;
	monitor->serve_data = data;
}

/* Stops serving; NULL is allowed. */
void
monitor_free(struct monitor *monitor)
{
	if (monitor == NULL)
		return;
	httpd_free(monitor->httpd);
	g_free(monitor);
}
