#include "base/metrics.h"

#include <inttypes.h>
#include <string.h>

static TAILQ_HEAD(metric_list, metric) metrics = TAILQ_HEAD_INITIALIZER(
    metrics);

static const char *const kind_names[] = {"counter", "gauge", "histogram"};

/*
 * Registers a metric next to those of the same name, because the text format
 * requires the lines of one name to be consecutive.
 */
static void
register_metric(struct metric *metric)
{
	struct metric *other;

	if (metric->registered)
		return;
	metric->registered = true;
	TAILQ_FOREACH (other, &metrics, entry) {
		if (strcmp(other->name, metric->name) == 0) {
			TAILQ_INSERT_AFTER(&metrics, other, metric, entry);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&metrics, metric, entry);
}

/* Adds to a counter or gauge. */
void
metric_add(struct metric *metric, int64_t amount)
{
	register_metric(metric);
	metric->value += amount;
}

/* Sets a gauge. */
void
metric_set(struct metric *metric, int64_t value)
{
	register_metric(metric);
	metric->value = value;
}

/* Adds a value to a histogram, in the unit of the metric's name. */
void
metric_observe(struct metric *metric, int64_t value)
{
	register_metric(metric);
	metric->value += value;
	metric->count++;
	for (int i = 0; i < METRIC_BUCKETS; i++) {
		if (i == METRIC_BUCKETS - 1 || value < (INT64_C(1) << i)) {
			metric->buckets[i]++;
			return;
		}
	}
}

/* Writes a histogram's cumulative buckets, sum and count. */
static void
write_histogram(GString *out, const struct metric *metric)
{
	const char *labels = metric->labels != NULL ? metric->labels : "";
	const char *comma = metric->labels != NULL ? "," : "";
	uint64_t total = 0;

	for (int i = 0; i < METRIC_BUCKETS - 1; i++) {
		total += metric->buckets[i];
		g_string_append_printf(out,
		    "%s_bucket{%s%sle=\"%" PRId64 "\"} %" PRIu64 "\n",
		    metric->name, labels, comma, INT64_C(1) << i, total);
	}
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
	    metric->name, labels, comma, metric->count);
	g_string_append_printf(out, "%s_sum{%s} %" PRId64 "\n", metric->name,
	    labels, metric->value);
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", metric->name,
	    labels, metric->count);
}

/* Writes all registered metrics in the Prometheus text format. */
void
metrics_write(GString *out)
{
	const struct metric *metric;
	const char *last = "";

	TAILQ_FOREACH (metric, &metrics, entry) {
		if (strcmp(last, metric->name) != 0) {
			g_string_append_printf(out,
			    "# HELP %s %s\n# TYPE %s %s\n", metric->name,
			    metric->help, metric->name,
			    kind_names[metric->kind]);
		}
		last = metric->name;
		if (metric->kind == METRIC_HISTOGRAM)
			write_histogram(out, metric);
		else if (metric->labels != NULL)
			g_string_append_printf(out, "%s{%s} %" PRId64 "\n",
			    metric->name, metric->labels, metric->value);
		else
			g_string_append_printf(out, "%s %" PRId64 "\n",
			    metric->name, metric->value);
	}
}
