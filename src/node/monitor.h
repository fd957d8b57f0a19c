/*
 * HTTP endpoints for monitoring a process: /metrics, /livez and /readyz, and
 * those that its role adds.
 */
#ifndef NODE_MONITOR_H
#define NODE_MONITOR_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "base/httpd.h"

struct monitor;

typedef bool monitor_ready_fn(void *data);
/* Responds to a request for another path; false if it does not know that. */
typedef bool monitor_serve_fn(void *data, struct httpd_request *);

struct monitor *monitor_new(struct ev_loop *, const char *address,
    monitor_ready_fn *, void *data, GError **);
void monitor_set_serve(struct monitor *, monitor_serve_fn *, void *data);
void monitor_free(struct monitor *);

#endif
