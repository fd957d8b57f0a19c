/*
 * Statistics of the load: counts and times by kind of work.
 */
#include <string.h>

#include "load.h"

/* A final response this much after its deadline is not counted as late. */
#define DEADLINE_GRACE_MS 250

static const char *const work_names[WORK_KINDS] = {
    "1k", "4k", "16k", "64k", "256k", "order"};
static const char *const verdict_names[VERDICTS] = {
    "whole", "refused", "cut", "broken", "wrong", "none"};

struct work_stats {
	uint64_t count;
	uint64_t verdicts[VERDICTS];
	uint64_t late;
	uint64_t resumed;
	uint64_t refused_without_retry_after;
	uint64_t cached_tokens;
	uint64_t prompt_tokens;
	GArray *first_ms;
	GArray *final_ms; /* of complete responses */
	GArray *refusal_ms;
	GHashTable *statuses; /* "STATUS OUTCOME CODE" -> count */
};

static struct work_stats all_stats[WORK_KINDS];

/* Creates the statistics. */
void
report_init(void)
{
	for (int i = 0; i < WORK_KINDS; i++) {
		all_stats[i].first_ms = g_array_new(
		    FALSE, FALSE, sizeof(double));
		all_stats[i].final_ms = g_array_new(
		    FALSE, FALSE, sizeof(double));
		all_stats[i].refusal_ms = g_array_new(
		    FALSE, FALSE, sizeof(double));
		all_stats[i].statuses = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
	}
}

/* Frees the statistics. */
void
report_free(void)
{
	for (int i = 0; i < WORK_KINDS; i++) {
		g_array_unref(all_stats[i].first_ms);
		g_array_unref(all_stats[i].final_ms);
		g_array_unref(all_stats[i].refusal_ms);
		g_hash_table_unref(all_stats[i].statuses);
	}
}

/* Whether the final response came late or not at all. */
static bool
is_late(const struct outcome *outcome)
{
	return outcome->verdict == VERDICT_NONE ||
	    outcome->final_ms >
	    (double)(outcome->deadline_ms + DEADLINE_GRACE_MS);
}

/* Adds one request that ended. */
void
report_add(const struct outcome *outcome)
{
	struct work_stats *stats = &all_stats[outcome->work];
	char *status = g_strdup_printf("%d %s %s", outcome->status,
	    outcome->outcome[0] != '\0' ? outcome->outcome : "-",
	    outcome->code[0] != '\0' ? outcome->code : "-");
	guint count_before = GPOINTER_TO_UINT(
	    g_hash_table_lookup(stats->statuses, status));

	g_hash_table_replace(
	    stats->statuses, status, GUINT_TO_POINTER(count_before + 1));
	stats->count++;
	stats->verdicts[outcome->verdict]++;
	stats->late += is_late(outcome);
	stats->resumed += outcome->resumes > 0;
	if (outcome->first_ms >= 0.)
		g_array_append_val(stats->first_ms, outcome->first_ms);
	if (outcome->verdict == VERDICT_WHOLE) {
		g_array_append_val(stats->final_ms, outcome->final_ms);
		stats->cached_tokens += (uint64_t)outcome->cached_tokens;
		stats->prompt_tokens += (uint64_t)outcome->prompt_tokens;
	}
	if (outcome->verdict == VERDICT_REFUSED) {
		g_array_append_val(stats->refusal_ms, outcome->final_ms);
		stats->refused_without_retry_after += (outcome->status == 429 ||
							  outcome->status ==
							      503) &&
		    outcome->retry_after_s < 0;
	}
}

/* Compares times for sorting. */
static gint
compare_times(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return left < right ? -1 : left > right;
}

/* Returns a percentile of sorted times; null if there are none. */
static json_t *
percentile(const GArray *sorted, double percent)
{
	guint index;

	if (sorted->len == 0)
		return json_null();
	index = (guint)((double)(sorted->len - 1) * percent / 100. + 0.5);
	return json_real(g_array_index(sorted, double, index));
}

/* Sorts times and returns their percentiles. */
static json_t *
percentiles(GArray *times)
{
	g_array_sort(times, compare_times);
	return json_pack("{s:i, s:o, s:o, s:o, s:o}", "count", (int)times->len,
	    "p50", percentile(times, 50.), "p95", percentile(times, 95.), "p99",
	    percentile(times, 99.), "max", percentile(times, 100.));
}

/* Returns the statistics of one kind of work as JSON. */
static json_t *
stats_json(struct work_stats *stats)
{
	json_t *statuses = json_object();
	json_t *json = json_pack(
	    "{s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o}", "count",
	    (json_int_t)stats->count, "late", (json_int_t)stats->late,
	    "resumed", (json_int_t)stats->resumed,
	    "refused_without_retry_after",
	    (json_int_t)stats->refused_without_retry_after, "cached_tokens",
	    (json_int_t)stats->cached_tokens, "prompt_tokens",
	    (json_int_t)stats->prompt_tokens, "first_ms",
	    percentiles(stats->first_ms), "final_ms",
	    percentiles(stats->final_ms), "refusal_ms",
	    percentiles(stats->refusal_ms));
	GHashTableIter iter;
	gpointer status, count;

	for (int i = 0; i < VERDICTS; i++)
		json_object_set_new(json, verdict_names[i],
		    json_integer((json_int_t)stats->verdicts[i]));
	g_hash_table_iter_init(&iter, stats->statuses);
	while (g_hash_table_iter_next(&iter, &status, &count))
		json_object_set_new(
		    statuses, status, json_integer(GPOINTER_TO_UINT(count)));
	json_object_set_new(json, "statuses", statuses);
	return json;
}

/* Returns the summary of the load as JSON. */
json_t *
report_summary(void)
{
	json_t *json = json_pack("{s:b, s:I, s:I, s:f}", "summary", 1, "sent",
	    (json_int_t)load.sent, "left_out", (json_int_t)load.left_out,
	    "seconds", load_now_s() - load.started_s);
	json_t *work = json_object();

	for (int i = 0; i < WORK_KINDS; i++)
		if (all_stats[i].count > 0)
			json_object_set_new(
			    work, work_names[i], stats_json(&all_stats[i]));
	json_object_set_new(json, "work", work);
	for (int verdict = 0; verdict < VERDICTS; verdict++) {
		uint64_t count = 0;

		for (int i = 0; i < WORK_KINDS; i++)
			count += all_stats[i].verdicts[verdict];
		json_object_set_new(json, verdict_names[verdict],
		    json_integer((json_int_t)count));
	}
	return json;
}

/* Returns the outcome of one request as JSON. */
json_t *
outcome_json(const struct outcome *outcome)
{
	return json_pack("{s:I, s:s, s:s, s:i, s:I, s:i, s:s, s:s, s:s, s:s, "
			 "s:i, s:i, s:f, s:f, s:f, s:I, s:I, s:I, s:b}",
	    "number", (json_int_t)outcome->number, "work",
	    work_names[outcome->work], "verdict",
	    verdict_names[outcome->verdict], "organisation",
	    (int)outcome->organisation, "tokens", (json_int_t)outcome->tokens,
	    "status", outcome->status, "outcome", outcome->outcome, "code",
	    outcome->code, "id", outcome->id, "key", outcome->key, "attempt",
	    (int)outcome->attempt, "resumes", (int)outcome->resumes, "start_s",
	    outcome->start_s, "first_ms", outcome->first_ms, "final_ms",
	    outcome->final_ms, "deadline_ms", (json_int_t)outcome->deadline_ms,
	    "retry_after_s", (json_int_t)outcome->retry_after_s,
	    "cached_tokens", (json_int_t)outcome->cached_tokens, "late",
	    is_late(outcome));
}
