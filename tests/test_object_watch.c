/*
 * Objects of one kind are kept in sync with the platform's store through lists
 * of several pages, events, lost history, outages, and updates from a peer.
 */
#include <string.h>

#include "base/clock.h"
#include "base/httpd.h"
#include "cases.h"
#include "platform/object_watch.h"

#define TEST_TIMEOUT_S 20.0
#define BODY_MAX_BYTES 1024
#define CALLS_MAX      8
/* Body of a response that is longer than the client takes. */
#define TOO_LONG       "too long"
#define TOO_LONG_BYTES ((size_t)9 * 1024 * 1024)

/* A response of the store; they are given in the order of the calls. */
struct response {
	const char *query; /* part of the request's target */
	int status; /* 0 for no response */
	const char *body;
};

static const struct watch_case {
	const char *name;
	struct response responses[CALLS_MAX];
	const char *names; /* at the end, sorted */
	uint64_t version;
} cases[] = {
    {"a list in two pages, then a watch from its first page's version",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":true,"
	     "\"StoreRevision\":7}"},
	    {"After=a", 200,
		"{\"Items\":[{\"Metadata\":{\"Name\":\"b\"}}],"
		"\"HasMore\":false,\"StoreRevision\":9}"},
	    {"Watch=7", 0, NULL}},
	"a b", 7},
    {"events add, replace and remove",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\",\"Revision\":1}}],"
	     "\"HasMore\":false,\"StoreRevision\":7}"},
	    {"Watch=7", 200,
		"{\"events\":[{\"Tombstone\":true,\"Object\":"
		"{\"Metadata\":{\"Name\":\"a\",\"Revision\":8}}},"
		"{\"Tombstone\":false,\"Object\":"
		"{\"Metadata\":{\"Name\":\"c\",\"Revision\":9}}}],"
		"\"StoreRevision\":9}"},
	    {"Watch=9", 0, NULL}},
	"c", 9},
    {"without events the version does not change",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 200, "{\"events\":[],\"StoreRevision\":12}"},
	    {"Watch=12", 0, NULL}},
	"a", 7},
    {"lost history (410) is followed by a new list",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 410, "{}"},
	    {"servers", 200,
		"{\"Items\":[{\"Metadata\":{\"Name\":\"b\"}}],"
		"\"HasMore\":false,\"StoreRevision\":30}"},
	    {"Watch=30", 0, NULL}},
	"b", 30},
    {"calls are retried while the store is down, and nothing is lost",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 503, "{}"}, {"Watch=7", 429, "{}"},
	    {"Watch=7", 200, "no JSON"},
	    {"Watch=7", 200,
		"{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"b\"}}}],"
		"\"StoreRevision\":8}"},
	    {"Watch=8", 0, NULL}},
	"a b", 8},
    {"an entry with a number beyond 64 bits does not take the list with it",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}},"
	     "{\"Metadata\":{\"Name\":\"odd\"},"
	     "\"Spec\":{\"Slots\":99999999999999999999}},"
	     "{\"Metadata\":{\"Name\":\"z\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 0, NULL}},
	"a odd z", 7},
    {"an event with a number beyond a double does not stop the watch",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 200,
		"{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"odd\"},"
		"\"Spec\":{\"ColdMs\":1e999}}},"
		"{\"Object\":{\"Metadata\":{\"Name\":\"b\"}}}],"
		"\"StoreRevision\":8}"},
	    {"Watch=8", 0, NULL}},
	"a b odd", 8},
    {"an entry without a readable name is left out",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"\\u0000\"}},"
	     "{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 0, NULL}},
	"a", 7},
    {"of several events of an object the last one counts",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\",\"Revision\":1}}],"
	     "\"HasMore\":false,\"StoreRevision\":7}"},
	    {"Watch=7", 200,
		"{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"b\","
		"\"Revision\":8}}},{\"Tombstone\":true,\"Object\":"
		"{\"Metadata\":{\"Name\":\"a\",\"Revision\":9}}},"
		"{\"Object\":{\"Metadata\":{\"Name\":\"a\",\"Revision\":10,"
		"\"CreateRevision\":10}}},{\"Tombstone\":true,\"Object\":"
		"{\"Metadata\":{\"Name\":\"b\",\"Revision\":11}}}],"
		"\"StoreRevision\":40}"},
	    {"Watch=40", 0, NULL}},
	"a", 40},
    {"a page that is refused is requested again, and nothing is lost",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":true,"
	     "\"StoreRevision\":7}"},
	    {"After=a", 429, "{}"}, {"After=a", 503, "{}"},
	    {"After=a", 200,
		"{\"Items\":[{\"Metadata\":{\"Name\":\"b\"}}],"
		"\"HasMore\":false,\"StoreRevision\":19}"},
	    {"Watch=7", 0, NULL}},
	"a b", 7},
    {"a watch whose events are too many is followed by a list",
	{{"servers", 200,
	     "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],\"HasMore\":false,"
	     "\"StoreRevision\":7}"},
	    {"Watch=7", 200, TOO_LONG},
	    {"servers", 200,
		"{\"Items\":[{\"Metadata\":{\"Name\":\"b\"}}],"
		"\"HasMore\":false,\"StoreRevision\":30}"},
	    {"Watch=30", 0, NULL}},
	"b", 30},
    {"an object without a name is ignored",
	{{"servers", 200,
	     "{\"Items\":[{\"Spec\":1},{\"Metadata\":{\"Name\":\"a\"}}],"
	     "\"HasMore\":false,\"StoreRevision\":7}"},
	    {"Watch=7", 0, NULL}},
	"a", 7},
};

/* A store that was restored from a copy during the case. */
static const struct restore_case {
	struct watch_case watch;
	const char *eras[CALLS_MAX]; /* that the responses name */
	uint64_t era; /* at the end */
} restore_cases[] = {
    {{"a watch of a restored store is followed by a new list, although the "
      "store has the watched revision again",
	 {{"servers", 200,
	      "{\"Items\":[{\"Metadata\":{\"Name\":\"a\",\"Revision\":29}}],"
	      "\"HasMore\":false,\"StoreRevision\":30}"},
	     {"Watch=30", 200,
		 "{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"x\","
		 "\"Revision\":31}}}],\"StoreRevision\":31}"},
	     {"servers", 200,
		 "{\"Items\":[{\"Metadata\":{\"Name\":\"c\","
		 "\"Revision\":20}}],\"HasMore\":false,"
		 "\"StoreRevision\":31}"},
	     {"Watch=31", 0, NULL}},
	 "c", 31},
	{"1", "2", "2"}, 2},
    {{"lost history of a restored store is followed by a list with lower "
      "revisions",
	 {{"servers", 200,
	      "{\"Items\":[{\"Metadata\":{\"Name\":\"a\",\"Revision\":29}}],"
	      "\"HasMore\":false,\"StoreRevision\":30}"},
	     {"Watch=30", 410, "{}"},
	     {"servers", 200,
		 "{\"Items\":[{\"Metadata\":{\"Name\":\"b\","
		 "\"Revision\":5}}],\"HasMore\":false,\"StoreRevision\":9}"},
	     {"Watch=9", 0, NULL}},
	 "b", 9},
	{"1", "2", "2"}, 2},
    {{"an object goes back to a lower revision of a restored store",
	 {{"servers", 200,
	      "{\"Items\":[{\"Metadata\":{\"Name\":\"a\",\"Revision\":29}}],"
	      "\"HasMore\":false,\"StoreRevision\":30}"},
	     {"Watch=30", 410, "{}"},
	     {"servers", 200,
		 "{\"Items\":[{\"Metadata\":{\"Name\":\"a\","
		 "\"Revision\":5}}],\"HasMore\":false,\"StoreRevision\":9}"},
	     {"Watch=9", 200,
		 "{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"a\","
		 "\"Revision\":10},\"Spec\":\"new\"}}],"
		 "\"StoreRevision\":10}"},
	     {"Watch=10", 0, NULL}},
	 "a", 10},
	{"1", "2", "2", "2"}, 2},
    {{"a failed call shows that the store was restored",
	 {{"servers", 200,
	      "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],"
	      "\"HasMore\":false,\"StoreRevision\":7}"},
	     {"Watch=7", 503, "{}"},
	     {"servers", 200,
		 "{\"Items\":[{\"Metadata\":{\"Name\":\"b\"}}],"
		 "\"HasMore\":false,\"StoreRevision\":3}"},
	     {"Watch=3", 0, NULL}},
	 "b", 3},
	{"1", "2", "2"}, 2},
    {{"a list in two pages, between which the store was restored, is read "
      "again",
	 {{"servers", 200,
	      "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],"
	      "\"HasMore\":true,\"StoreRevision\":7}"},
	     {"After=a", 200,
		 "{\"Items\":[{\"Metadata\":{\"Name\":\"b\"}}],"
		 "\"HasMore\":false,\"StoreRevision\":5}"},
	     {"servers", 200,
		 "{\"Items\":[{\"Metadata\":{\"Name\":\"c\"}}],"
		 "\"HasMore\":false,\"StoreRevision\":6}"},
	     {"Watch=6", 0, NULL}},
	 "c", 6},
	{"1", "2", "2"}, 2},
    {{"a response of an earlier era is not used",
	 {{"servers", 200,
	      "{\"Items\":[{\"Metadata\":{\"Name\":\"a\"}}],"
	      "\"HasMore\":false,\"StoreRevision\":7}"},
	     {"Watch=7", 200,
		 "{\"events\":[{\"Object\":{\"Metadata\":{\"Name\":\"x\"}}}],"
		 "\"StoreRevision\":90}"},
	     {"Watch=7", 0, NULL}},
	 "a", 7},
	{"2", "1"}, 2},
};

struct fixture {
	const struct watch_case *c;
	const char *const *eras; /* of the responses; NULL for none */
	struct ev_loop *loop;
	ev_timer timeout;
	struct httpd *httpd;
	struct http_client *http;
	struct object_store *store;
	struct object_watch *watch;
	size_t calls;
	char *names; /* from the last change */
	uint64_t version;
};

/* Responds to the next call. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct fixture *f = data;
	size_t at = f->calls++;
	const struct response *response = &f->c->responses[at];
	const struct http_header era = {
	    "Store-Era", f->eras == NULL ? NULL : f->eras[at]};

	g_assert_cmpuint(f->calls, <=, CALLS_MAX);
	g_assert_nonnull(response->query);
	g_assert_nonnull(
	    strstr(httpd_request_target(request), response->query));
	g_assert_cmpint(strstr(httpd_request_target(request), "Watch=") != NULL,
	    ==, strstr(response->query, "Watch=") != NULL);
	if (response->status != 0 && strcmp(response->body, TOO_LONG) == 0) {
		g_autofree char *body = g_strnfill(TOO_LONG_BYTES, ' ');

		httpd_respond(
		    request, response->status, NULL, 0, body, TOO_LONG_BYTES);
	} else if (response->status != 0) {
		httpd_respond(request, response->status, &era,
		    era.value == NULL ? 0 : 1, response->body,
		    strlen(response->body));
	}
}

/* Calls have no state. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

static const struct httpd_ops ops = {
    .request = on_request,
    .closed = on_closed,
};

/* Compares two names for qsort(). */
static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Records the names of the current objects. */
static void
on_change(void *data, uint64_t version, const struct object_changes *changes)
{
	struct fixture *f = data;
	g_auto(GStrv) names = object_set_names(object_watch_objects(f->watch));

	qsort(names, g_strv_length(names), sizeof(*names), compare_names);
	g_free(f->names);
	f->names = g_strjoinv(" ", names);
	f->version = version;
}

/* Fails a case that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the case did not end");
}

/* Starts the store and the watch. */
static void
set_up(struct fixture *f)
{
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	g_autofree char *address = NULL;

	f->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	f->httpd = httpd_new(f->loop, &settings, &ops, f, NULL);
	address = g_strdup_printf("127.0.0.1:%d", httpd_port(f->httpd));
	f->http = http_client_new(f->loop, NULL);
	f->store = object_store_new(f->http, clock_system(), address, NULL);
	f->watch = object_watch_new(
	    f->loop, clock_system(), f->store, "servers", on_change, f);
}

/* Frees the watch and stops the store. */
static void
tear_down(struct fixture *f)
{
	object_watch_free(f->watch);
	object_store_free(f->store);
	http_client_free(f->http);
	httpd_free(f->httpd);
	ev_timer_stop(f->loop, &f->timeout);
	ev_loop_destroy(f->loop);
	g_free(f->names);
}

/* Runs the loop until the store has received the last call of the case. */
static void
run_to_last_call(struct fixture *f)
{
	while (f->calls == 0 || f->c->responses[f->calls - 1].status != 0)
		ev_run(f->loop, EVRUN_ONCE);
}

/* The objects and the version at the end are as expected. */
static void
test_watch(gconstpointer data)
{
	struct fixture f = {.c = &cases[GPOINTER_TO_SIZE(data)]};

	set_up(&f);
	run_to_last_call(&f);
	g_assert_cmpstr(f.names, ==, f.c->names);
	g_assert_cmpuint(f.version, ==, f.c->version);
	tear_down(&f);
}

/* Objects and version are those of the restored store. */
static void
test_restored(gconstpointer data)
{
	const struct restore_case *c = &restore_cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {.c = &c->watch, .eras = c->eras};

	set_up(&f);
	run_to_last_call(&f);
	g_assert_cmpstr(f.names, ==, c->watch.names);
	g_assert_cmpuint(f.version, ==, c->watch.version | c->era << 44);
	tear_down(&f);
}

/* Applies an update as received from a peer. */
static bool
apply_update(
    struct fixture *f, uint64_t base, uint64_t version, const char *text)
{
	return object_watch_apply_update(
	    f->watch, base, version, (const uint8_t *)text, strlen(text));
}

/*
 * A peer's newer state replaces the local state, also while the store is
 * disconnected. An older one, a malformed one, and changes based on another
 * version have no effect.
 */
static void
test_peer_update(void)
{
	static const struct watch_case c = {"",
	    {{"servers", 200,
		 "{\"Items\":[],\"HasMore\":false,\"StoreRevision\":7}"},
		{"Watch=7", 503, "{}"}, {"Watch=9", 503, "{}"},
		{"Watch=11", 200,
		    "{\"events\":[{\"Object\":"
		    "{\"Metadata\":{\"Name\":\"d\"}}}],"
		    "\"StoreRevision\":12}"},
		{"Watch=12", 0, NULL}},
	    NULL, 0};
	static const char newer[] = "[{\"Metadata\":{\"Name\":\"c\"}}]";
	static const char changes[] =
	    "[{\"Object\":{\"Metadata\":{\"Name\":\"e\"}}},"
	    "{\"Object\":{\"Metadata\":{\"Name\":\"c\"}},"
	    "\"Tombstone\":true}]";
	struct fixture f = {.c = &c};
	int64_t heard_ms;

	set_up(&f);
	while (!object_watch_is_disconnected(f.watch))
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_false(apply_update(&f, 0, 7, newer));
	g_assert_false(apply_update(&f, 0, 9, "{}"));
	g_assert_false(apply_update(&f, 0, 9, "["));
	g_assert_false(apply_update(&f, 8, 9, changes));
	heard_ms = time_to_ms(object_watch_freshness(f.watch)->store_at);
	g_assert_cmpint(heard_ms, >, 0);
	g_assert_true(apply_update(&f, 0, 9, newer));
	g_assert_cmpint(time_to_ms(object_watch_freshness(f.watch)->store_at),
	    ==, heard_ms);
	g_assert_cmpstr(f.names, ==, "c");
	while (f.calls < 3)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_true(apply_update(&f, 9, 11, changes));
	g_assert_cmpstr(f.names, ==, "e");
	run_to_last_call(&f);
	g_assert_cmpint(
	    time_to_ms(object_watch_freshness(f.watch)->store_at), >, heard_ms);
	g_assert_cmpstr(f.names, ==, "d e");
	g_assert_false(object_watch_is_disconnected(f.watch));
	tear_down(&f);
}

/* An inactive watch makes no calls, and later continues from its version. */
static void
test_inactive(void)
{
	static const struct watch_case c = {"",
	    {{"servers", 200,
		 "{\"Items\":[],\"HasMore\":false,\"StoreRevision\":7}"},
		{"Watch=7", 0, NULL}, {"Watch=12", 0, NULL}},
	    NULL, 0};
	struct fixture f = {.c = &c};

	set_up(&f);
	run_to_last_call(&f);
	object_watch_set_active(f.watch, false);
	g_assert_true(apply_update(&f, 0, 12, "[]"));
	object_watch_set_active(f.watch, true);
	while (f.calls < 3)
		ev_run(f.loop, EVRUN_ONCE);
	tear_down(&f);
}

/* The next call is delayed, so that it returns changes in batches. */
static void
test_batched(void)
{
	static const struct watch_case c = {"",
	    {{"servers", 200,
		 "{\"Items\":[],\"HasMore\":false,\"StoreRevision\":7}"},
		{"Watch=7", 200,
		    "{\"events\":[{\"Object\":"
		    "{\"Metadata\":{\"Name\":\"a\"}}}],"
		    "\"StoreRevision\":8}"},
		{"Watch=8", 0, NULL}},
	    NULL, 0};
	struct fixture f = {.c = &c};
	struct timespec received_at;

	set_up(&f);
	while (f.version < 8)
		ev_run(f.loop, EVRUN_ONCE);
	received_at = clock_monotonic(clock_system());
	run_to_last_call(&f);
	g_assert_cmpint(
	    time_diff_ms(clock_monotonic(clock_system()), received_at), >=,
	    OBJECT_WATCH_BATCH_MS / 2);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/object_watch", test_watch);
	for (size_t i = 0; i < G_N_ELEMENTS(restore_cases); i++) {
		g_autofree char *path = g_strconcat("/object_watch/restored/",
		    restore_cases[i].watch.name, NULL);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_restored);
	}
	g_test_add_func(
	    "/object_watch/a peer's newer state replaces the local one",
	    test_peer_update);
	g_test_add_func(
	    "/object_watch/an inactive watch makes no calls", test_inactive);
	g_test_add_func("/object_watch/the next call is delayed to return "
			"changes in batches",
	    test_batched);
	return g_test_run();
}
