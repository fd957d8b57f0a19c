/*
 * HTTP endpoints for monitoring a process: /metrics, /livez and /readyz.
 */
#ifndef NODE_MONITOR_H
#define NODE_MONITOR_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

struct monitor;

typedef bool monitor_ready_fn(void *data);

struct monitor *monitor_new(struct ev_loop *, const char *address,
    monitor_ready_fn *, void *data, GError **);
void monitor_free(struct monitor *);

#endif
