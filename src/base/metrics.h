/*
 * Counters, gauges and histograms of this process, exposed on /metrics. A
 * module defines its metrics as static structs with METRIC_DEFINE; they are
 * registered on first use. Single-threaded.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"

/*
 * Bucket i counts values below 2^i that no lower one counts; the last, the
 * rest.
 */
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
	int64_t value; /* for histograms, the sum */
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
