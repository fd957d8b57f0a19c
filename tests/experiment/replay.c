#include "replay.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "engine.h"
#include "traffic.h"

#define TICK_MS 1.0
/* Prompts of at least this many tokens belong to the class. */
#define MEDIUM_TOKENS 14000
#define LONG_TOKENS   75000

/* One request of the log. */
struct logged_request {
	struct prompt prompt;
	double sent_ms;
	double first_ms; /* below 0: none */
	double max_gap_ms;
};

struct replay {
	GHashTable *requests; /* id -> struct logged_request */
	GHashTable *engines; /* id -> index + 1 */
	GPtrArray *by_sent_time; /* of struct logged_request */
};

/* Returns a string member; "" if there is none. */
static const char *
string_member(const json_t *line, const char *member)
{
	const char *text = json_string_value(json_object_get(line, member));

	return text != NULL ? text : "";
}

/* Returns a number member; 0 if there is none. */
static double
number_member(const json_t *line, const char *member)
{
	return json_number_value(json_object_get(line, member));
}

/* Returns the index of an engine; a new one gets the next. */
static size_t
engine_index(struct replay *replay, const char *id)
{
	size_t next = g_hash_table_size(replay->engines);
	size_t index = GPOINTER_TO_SIZE(
	    g_hash_table_lookup(replay->engines, id));

	if (index > 0)
		return index - 1;
	g_hash_table_insert(
	    replay->engines, g_strdup(id), GSIZE_TO_POINTER(next + 1));
	return next;
}

/* Adds a prompt from its "request sent" line. */
static void
add_sent(struct replay *replay, const json_t *line, double now_ms)
{
	g_auto(GStrv)
	    helpers = g_strsplit(string_member(line, "helped_by"), " ", 0);
	struct logged_request *logged = g_new0(struct logged_request, 1);
	struct prompt *prompt = &logged->prompt;

	prompt->tokens = (uint64_t)number_member(line, "prompt_tokens");
	prompt->class = prompt->tokens < MEDIUM_TOKENS ? STREAM_SHORT
	    : prompt->tokens < LONG_TOKENS	       ? STREAM_MEDIUM
						       : STREAM_LONG;
	prompt->part_ms = number_member(line, "part_ms");
	prompt->first_ms = -1.0;
	prompt->engines[prompt->engine_count++] = engine_index(
	    replay, string_member(line, "upstream"));
	for (size_t i = 0;
	     helpers[i] != NULL && prompt->engine_count < PROMPT_ENGINES_MAX;
	     i++)
		prompt->engines[prompt->engine_count++] = engine_index(
		    replay, helpers[i]);
	prompt->prefills_left = prompt->engine_count;
	logged->sent_ms = now_ms;
	logged->first_ms = -1.0;
	g_hash_table_replace(
	    replay->requests, g_strdup(string_member(line, "request")), logged);
}

/* Completes a request from its "request ended" line. */
static void
add_ended(struct replay *replay, const json_t *line, double now_ms)
{
	struct logged_request *logged = g_hash_table_lookup(
	    replay->requests, string_member(line, "request"));

	if (logged == NULL)
		return;
	logged->prompt.events = (uint32_t)MAX(
	    number_member(line, "last_event"), 1.0);
	logged->max_gap_ms = number_member(line, "longest_pause_ms");
	if (number_member(line, "first_event_ms") >= 0.0)
		logged->first_ms = now_ms - number_member(line, "took_ms") +
		    number_member(line, "first_event_ms");
	g_ptr_array_add(replay->by_sent_time, logged);
}

/* Parses one line; text before its JSON is ignored. */
static void
parse_line(struct replay *replay, const char *text)
{
	const char *begin = strchr(text, '{');
	json_t *line = begin == NULL
	    ? NULL
	    : json_loads(begin, JSON_DISABLE_EOF_CHECK, NULL);
	g_autoptr(GDateTime) time = NULL;
	double now_ms;

	if (line != NULL)
		time = g_date_time_new_from_iso8601(
		    string_member(line, "time"), NULL);
	if (time != NULL) {
		now_ms = (double)g_date_time_to_unix(time) * MS_PER_S +
		    g_date_time_get_microsecond(time) / (double)US_PER_MS;
		if (strcmp(string_member(line, "text"), "request sent") == 0 &&
		    number_member(line, "prompt_tokens") > 0.0)
			add_sent(replay, line, now_ms);
		else if (strcmp(string_member(line, "text"), "request ended") ==
		    0)
			add_ended(replay, line, now_ms);
	}
	json_decref(line);
}

/* Compares requests by the time at which they were sent. */
static int
compare_sent_times(const void *a, const void *b)
{
	const struct logged_request *left = *(
	    const struct logged_request *const *)a;
	const struct logged_request *right = *(
	    const struct logged_request *const *)b;

	return (left->sent_ms > right->sent_ms) -
	    (left->sent_ms < right->sent_ms);
}

/* Serves the prompts by model engines, at the times they were sent. */
static void
run_model(struct replay *replay, const struct engine_profile *profile)
{
	size_t count = g_hash_table_size(replay->engines);
	g_autofree struct engine **engines = g_new(struct engine *, count + 1);
	const struct logged_request *last;
	double now_ms;
	size_t next = 0;

	if (replay->by_sent_time->len == 0)
		return;
	for (size_t i = 0; i < count; i++)
		engines[i] = engine_new(profile);
	last = replay->by_sent_time->pdata[replay->by_sent_time->len - 1];
	now_ms = ((struct logged_request *)replay->by_sent_time->pdata[0])
		     ->sent_ms;
	for (; now_ms < last->sent_ms + 30.0 * MS_PER_S; now_ms += TICK_MS) {
		for (size_t i = 0; i < count; i++)
			engine_run(engines[i], now_ms);
		while (next < replay->by_sent_time->len) {
			struct logged_request *logged = replay->by_sent_time
							    ->pdata[next];

			if (logged->sent_ms > now_ms)
				break;
			next++;
			for (size_t i = 0; i < logged->prompt.engine_count; i++)
				engine_prefill(
				    engines[logged->prompt.engines[i]],
				    &logged->prompt, i, now_ms);
		}
		for (size_t i = 0; i < next; i++) {
			struct logged_request *logged = replay->by_sent_time
							    ->pdata[i];

			if (logged->prompt.prefills_left > 0 ||
			    logged->prompt.decoding)
				continue;
			logged->prompt.decoding = true;
			engine_decode(engines[logged->prompt.engines[0]],
			    &logged->prompt, now_ms);
		}
	}
	for (size_t i = 0; i < count; i++)
		engine_free(engines[i]);
}

/* Prints the model's error for one class. */
static void
print_class(const struct replay *replay, enum stream_class class)
{
	double error = 0.0, abs_error = 0.0, gap_error = 0.0,
	       real_total_ms = 0.0;
	size_t in_time = 0, agreed = 0;
	size_t count = 0;

	for (size_t i = 0; i < replay->by_sent_time->len; i++) {
		const struct logged_request *logged = replay->by_sent_time
							  ->pdata[i];
		const struct prompt *prompt = &logged->prompt;
		double target_ms = prompt_classes[class].target_ms;
		double real_ms = logged->first_ms - logged->sent_ms;
		double model_ms = prompt->first_ms - logged->sent_ms;

		if (prompt->class != class || logged->first_ms < 0.0 ||
		    prompt->first_ms < 0.0)
			continue;
		count++;
		real_total_ms += real_ms;
		error += model_ms - real_ms;
		abs_error += fabs(model_ms - real_ms);
		gap_error += fabs(prompt->max_gap_ms - logged->max_gap_ms);
		in_time += real_ms <= target_ms;
		agreed += (real_ms <= target_ms) == (model_ms <= target_ms);
	}
	if (count == 0)
		return;
	printf("%s\t%zu\t%.0f\t%+.0f\t%.0f\t%.0f\t%.3f\t%.3f\n",
	    prompt_classes[class].name, count, real_total_ms / (double)count,
	    error / (double)count, abs_error / (double)count,
	    gap_error / (double)count, (double)in_time / (double)count,
	    (double)agreed / (double)count);
}

/*
 * Reads gateways' log lines, each at the end of a line of a file, and prints
 * the model's error for each class. Returns false if the file can't be read.
 */
bool
replay_log(
    const struct engine_profile *profile, const char *path, GError **error)
{
	struct replay replay = {0};
	g_autofree char *text = NULL;
	char *line, *rest;

	if (!g_file_get_contents(path, &text, NULL, error))
		return false;
	replay.requests = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	replay.engines = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	replay.by_sent_time = g_ptr_array_new();
	for (line = strtok_r(text, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest))
		parse_line(&replay, line);
	g_ptr_array_sort(replay.by_sent_time, compare_sent_times);
	run_model(&replay, profile);
	printf("class\tprompts\tfirst_ms\terror_ms\toff_ms\tpause_off_ms\t"
	       "in_time\tagreed\n");
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		print_class(&replay, (enum stream_class)i);
	g_ptr_array_unref(replay.by_sent_time);
	g_hash_table_unref(replay.engines);
	g_hash_table_unref(replay.requests);
	return true;
}
