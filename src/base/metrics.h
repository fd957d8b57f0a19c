/*
 * The process's own counters, gauges and histograms, written out as text on
 * /metrics. A module declares its metrics as static structs with METRIC_* and
 * they join the process's list on first use. One thread only.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"

/* Bucket i counts values below 2^i; the last counts all. */
#define METRIC_BUCKETS 28

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

struct metric {
	enum metric_kind kind;
	const char *name; /* full name, with its unit, e.g. heatherturn_x_ms */
	const char *labels; /* as text, e.g. kind="short"; NULL for none */
	const char *help;
	int64_t value; /* a histogram's sum */
	uint64_t count;
	uint64_t buckets[METRIC_BUCKETS];
	bool registered;
	TAILQ_ENTRY(metric) entry;
};

#define METRIC_DEFINE(var, metric_kind, metric_name, metric_labels, text) \
	static struct metric var = {.kind = (metric_kind),                \
	    .name = (metric_name),                                        \
	    .labels = (metric_labels),                                    \
	    .help = (text)}

void metric_add(struct metric *, int64_t);
void metric_set(struct metric *, int64_t);
void metric_observe(struct metric *, int64_t);
void metrics_write(GString *);

#endif
