/*
 * Links: handshake and authentication, typed errors, bounded queues, ping
 * timeouts, and the age of messages that waited in a socket. Time is manual;
 * the loops run only while sockets are ready.
 */
#include <sys/resource.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "peer/clock_offset.h"
#include "peer/link.h"
#include "peer/socket.h"

/* Iterations of the loops after which a test that waits for an event fails. */
#define LOOP_ITERATIONS_MAX 1000000

#define FUZZ_ROUNDS 200

struct side {
	struct link *link;
	unsigned int opened;
	unsigned int messages;
	unsigned int writable;
	bool closed;
	int code;
	uint64_t last_sequence;
	int64_t last_age_ms;
};

struct pair {
	struct ev_loop *loop; /* of the acceptor and a relay */
	struct ev_loop *opener_loop;
	struct clock_manual clock;
	struct link_identity opener_identity;
	struct link_identity server_identity;
	struct link_server *server;
	struct side opener;
	struct side acceptor;
};

static void
on_opened(void *data, struct link *link)
{
	struct side *side = data;

	side->link = link;
	side->opened++;
}

static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct side *side = data;

	side->messages++;
	side->last_sequence = message->sequence;
	side->last_age_ms = link_message_age_ms(link, message);
}

static void
on_link_writable(void *data, struct link *link)
{
	((struct side *)data)->writable++;
}

static void
on_closed(void *data, struct link *link, const GError *error)
{
	struct side *side = data;

	side->closed = true;
	side->code = error->code;
	side->link = NULL;
}

static const struct link_ops ops = {
    .opened = on_opened,
    .message = on_message,
    .writable = on_link_writable,
    .closed = on_closed,
};

/* Runs one iteration of both loops. */
static void
run_once(struct pair *pair)
{
	ev_run(pair->opener_loop, EVRUN_NOWAIT);
	ev_run(pair->loop, EVRUN_NOWAIT);
}

/*
 * Runs both loops until the condition holds; fails after LOOP_ITERATIONS_MAX.
 */
#define RUN_UNTIL(pair, condition)                                        \
	do {                                                              \
		int run_count = 0;                                        \
		while (!(condition) && run_count++ < LOOP_ITERATIONS_MAX) \
			run_once(pair);                                   \
		g_assert_true(condition);                                 \
	} while (0)

/* Starts a link server and a link to it; a NULL key means none. */
static void
pair_start(struct pair *pair, const char *opener_key, const char *server_key)
{
	g_autofree char *address = NULL;

	memset(pair, 0, sizeof(*pair));
	pair->loop = ev_loop_new(0);
	pair->opener_loop = ev_loop_new(0);
	clock_manual_init(&pair->clock, 1000000);
	pair->opener_identity = (struct link_identity){.process = "opener",
	    .role = ROLE_ENTRY,
	    .failure_domain = "a",
	    .address = "",
	    .cluster_key = opener_key,
	    .config_version = 7};
	pair->server_identity = pair->opener_identity;
	pair->server_identity.process = "server";
	pair->server_identity.cluster_key = server_key;
	pair->server = link_server_new(pair->loop, &pair->clock.clock,
	    &pair->server_identity, "127.0.0.1:0", &ops, &pair->acceptor, NULL);
	g_assert_nonnull(pair->server);
	address = g_strdup_printf(
	    "127.0.0.1:%d", link_server_port(pair->server));
	pair->opener.link = link_connect(pair->opener_loop, &pair->clock.clock,
	    &pair->opener_identity, address, &ops, &pair->opener);
}

static void
pair_stop(struct pair *pair)
{
	if (!pair->opener.closed)
		link_close(pair->opener.link);
	link_server_free(pair->server);
	ev_loop_destroy(pair->loop);
	ev_loop_destroy(pair->opener_loop);
}

static void
send_sequence(struct link *link, uint64_t sequence)
{
	struct message message = {.kind = MESSAGE_WINDOW, .sequence = sequence};

	g_assert_true(link_send(link, &message));
}

/* Runs one side's loop alone for 100 iterations. */
static void
run_loop(struct ev_loop *loop)
{
	for (int i = 0; i < 100; i++)
		ev_run(loop, EVRUN_NOWAIT);
}

static const struct key_case {
	const char *name;
	const char *opener_key;
	const char *server_key;
	bool opener_opens;
	bool server_opens;
} key_cases[] = {
    {"a link without keys opens", NULL, NULL, true, true},
    {"the same key opens", "secret", "secret", true, true},
    {"different keys are refused by both", "secret", "other", false, false},
    {"an opener without the key is refused", NULL, "secret", true, false},
    {"a server without the key is refused", "secret", NULL, false, true},
};

/*
 * A side with a key opens only for the same key. A side without one may or may
 * not open before the other refuses.
 */
static void
test_keys(gconstpointer data)
{
	const struct key_case *c = data;
	bool both = c->opener_opens && c->server_opens;
	struct pair pair;

	pair_start(&pair, c->opener_key, c->server_key);
	if (both)
		RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	else
		RUN_UNTIL(&pair, pair.opener.closed && pair.acceptor.closed);
	g_assert_cmpuint(pair.opener.opened, <=, c->opener_opens);
	g_assert_cmpuint(pair.acceptor.opened, <=, c->server_opens);
	pair_stop(&pair);
}

/*
 * A message sent before the handshake is complete arrives after it, with the
 * sender known.
 */
static void
test_early_send(void)
{
	struct pair pair;

	pair_start(&pair, "secret", "secret");
	send_sequence(pair.opener.link, 5);
	RUN_UNTIL(&pair, pair.acceptor.messages == 1);
	g_assert_cmpuint(pair.acceptor.last_sequence, ==, 5);
	g_assert_cmpstr(link_peer(pair.acceptor.link)->process, ==, "opener");
	pair_stop(&pair);
}

/*
 * The age of a message includes the time that it waited in the socket while the
 * receiver was stopped.
 */
static void
test_age_after_stop(void)
{
	struct pair pair;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.acceptor.opened && pair.opener.opened);
	send_sequence(pair.opener.link, 1);
	clock_manual_advance(&pair.clock, 1700);
	RUN_UNTIL(&pair, pair.acceptor.messages == 1);
	g_assert_cmpint(pair.acceptor.last_age_ms, ==, 1700);
	pair_stop(&pair);
}

/* The same if the frames of the handshake waited in the socket with it. */
static void
test_age_of_handshake(void)
{
	struct pair pair;

	pair_start(&pair, NULL, NULL);
	send_sequence(pair.opener.link, 1);
	run_loop(pair.opener_loop);
	run_loop(pair.loop);
	run_loop(pair.opener_loop);
	g_assert_true(pair.opener.opened);
	g_assert_false(pair.acceptor.opened);
	clock_manual_advance(&pair.clock, 1500);
	RUN_UNTIL(&pair, pair.acceptor.messages == 1);
	g_assert_cmpint(pair.acceptor.last_age_ms, ==, 1500);
	pair_stop(&pair);
}

/*
 * Sends until the queue is full, while the receiver does not run; returns the
 * number of messages sent.
 */
static unsigned int
fill_queue(struct link *link)
{
	g_autofree uint8_t *data = g_malloc0(64 * 1024);
	struct message chunk = {
	    .kind = MESSAGE_CHUNK, .chunk.data = {data, 64 * 1024}};
	unsigned int sent = 0;

	while (link_send(link, &chunk))
		sent++;
	return sent;
}

static void
test_bounded_queue(void)
{
	struct pair pair;
	unsigned int sent;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	sent = fill_queue(pair.opener.link);
	g_assert_cmpuint(link_queued_bytes(pair.opener.link), <=,
	    LINK_QUEUE_MAX_BYTES + 65 * 1024);
	g_assert_cmpuint(pair.opener.writable, ==, 0);
	RUN_UNTIL(&pair, pair.opener.writable == 1);
	RUN_UNTIL(&pair, pair.acceptor.messages == sent);
	g_assert_cmpuint(pair.opener.writable, ==, 1);
	pair_stop(&pair);
}

/*
 * A relay between two sides. When stalled it drops all bytes and closes no
 * connection, so that only heartbeats can detect it.
 */
struct relay {
	struct ev_loop *loop;
	int listener;
	int sockets[2];
	ev_io accept;
	ev_io reads[2];
	char *target;
	bool stalled;
};

static void
on_relay_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct relay *relay = watcher->data;
	int from = watcher == &relay->reads[0] ? 0 : 1;
	uint8_t bytes[4096];
	ssize_t count = recv(relay->sockets[from], bytes, sizeof(bytes), 0);

	if (count <= 0) {
		ev_io_stop(loop, watcher);
		return;
	}
	if (!relay->stalled)
		g_assert_cmpint(send(relay->sockets[1 - from], bytes,
				    (size_t)count, MSG_NOSIGNAL),
		    ==, count);
}

static void
on_relay_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct relay *relay = watcher->data;

	relay->sockets[0] = socket_accept(relay->listener);
	relay->sockets[1] = socket_connect(relay->target, NULL);
	for (int i = 0; i < 2; i++) {
		ev_io_init(&relay->reads[i], on_relay_readable,
		    relay->sockets[i], EV_READ);
		relay->reads[i].data = relay;
		ev_io_start(loop, &relay->reads[i]);
	}
	ev_io_stop(loop, watcher);
}

/* Starts a relay to the pair's server and a link through it. */
static void
relay_start(struct relay *relay, struct pair *pair)
{
	g_autofree char *address = NULL;
	int port;

	memset(relay, 0, sizeof(*relay));
	relay->loop = pair->loop;
	relay->target = g_strdup_printf(
	    "127.0.0.1:%d", link_server_port(pair->server));
	relay->listener = socket_listen("127.0.0.1:0", &port, NULL);
	ev_io_init(&relay->accept, on_relay_accept, relay->listener, EV_READ);
	relay->accept.data = relay;
	ev_io_start(relay->loop, &relay->accept);
	address = g_strdup_printf("127.0.0.1:%d", port);
	pair->opener.link = link_connect(pair->opener_loop, &pair->clock.clock,
	    &pair->opener_identity, address, &ops, &pair->opener);
}

static void
relay_stop(struct relay *relay)
{
	for (int i = 0; i < 2; i++) {
		ev_io_stop(relay->loop, &relay->reads[i]);
		close(relay->sockets[i]);
	}
	close(relay->listener);
	g_free(relay->target);
}

/*
 * Runs both sides for ms milliseconds of time, with a check in each heartbeat
 * interval.
 */
static void
run_heartbeats(struct pair *pair, int64_t ms)
{
	for (; ms > 0; ms -= LINK_HEARTBEAT_MS) {
		clock_manual_advance(&pair->clock, LINK_HEARTBEAT_MS);
		if (pair->opener.link != NULL)
			link_check_liveness(pair->opener.link);
		if (pair->acceptor.link != NULL)
			link_check_liveness(pair->acceptor.link);
		for (int i = 0; i < 8; i++)
			run_once(pair);
	}
}

/*
 * Returns the value of one line of the metrics, which count both sides, as they
 * share this process.
 */
static int64_t
metric_value(const char *line)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const char *found;

	metrics_write(text);
	found = strstr(text->str, line);
	return found != NULL ? g_ascii_strtoll(found + strlen(line), NULL, 10)
			     : 0;
}

/*
 * Work and heartbeats are counted separately, and equally where sent and
 * received.
 */
static void
test_traffic(void)
{
	static const char *const lines[] = {
	    "heatherturn_link_messages{sort=\"work\",direction=\"sent\"} ",
	    "heatherturn_link_messages{sort=\"work\",direction=\"received\"} ",
	    "heatherturn_link_bytes{sort=\"work\",direction=\"sent\"} ",
	    "heatherturn_link_bytes{sort=\"work\",direction=\"received\"} ",
	    "heatherturn_link_messages{sort=\"heartbeat\",direction=\"sent\"} ",
	};
	int64_t before[G_N_ELEMENTS(lines)], after[G_N_ELEMENTS(lines)];
	struct pair pair;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		before[i] = metric_value(lines[i]);
	for (uint64_t i = 1; i <= 3; i++)
		send_sequence(pair.opener.link, i);
	RUN_UNTIL(&pair, pair.acceptor.messages == 3);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		after[i] = metric_value(lines[i]) - before[i];
	g_assert_cmpint(after[0], ==, 3);
	g_assert_cmpint(after[1], ==, 3);
	g_assert_cmpint(after[2], >, 3 * 4);
	g_assert_cmpint(after[2], ==, after[3]);
	run_heartbeats(&pair, LINK_HEARTBEAT_MS);
	g_assert_cmpint(metric_value(lines[4]), >, before[4] + after[4]);
	g_assert_cmpint(metric_value(lines[0]), ==, before[0] + 3);
	pair_stop(&pair);
}

/* The heartbeats of one side suffice for both, whichever side uses the link. */
static void
test_one_side_heartbeats(gconstpointer by_opener)
{
	const char *line =
	    "heatherturn_link_messages{sort=\"heartbeat\",direction=\"sent\"} ";
	const int64_t each_ms[] = {
	    LINK_HEARTBEAT_MS - LINK_ACCEPTED_HEARTBEAT_DELAY_MS,
	    LINK_ACCEPTED_HEARTBEAT_DELAY_MS};
	struct pair pair;
	struct side *sides[] = {&pair.opener, &pair.acceptor};
	int64_t before;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	link_add_user(
	    by_opener != NULL ? pair.opener.link : pair.acceptor.link);
	before = metric_value(line);
	for (int round = 0; round < 2 * 40; round++) {
		clock_manual_advance(&pair.clock, each_ms[round % 2]);
		link_check_liveness(sides[round % 2]->link);
		for (int i = 0; i < 8; i++)
			run_once(&pair);
		g_assert_false(pair.opener.closed || pair.acceptor.closed);
		g_assert_false(link_is_stale(pair.opener.link));
		g_assert_false(link_is_stale(pair.acceptor.link));
	}
	g_assert_cmpint(metric_value(line) - before, >=, 2 * 40);
	g_assert_cmpint(metric_value(line) - before, <=, 2 * 40 + 2 * 5);
	pair_stop(&pair);
}

static void
test_ping_timeout(void)
{
	struct pair pair;
	struct relay relay;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.opener.opened);
	link_close(pair.opener.link);
	memset(&pair.opener, 0, sizeof(pair.opener));
	RUN_UNTIL(&pair, pair.acceptor.closed);
	memset(&pair.acceptor, 0, sizeof(pair.acceptor));
	relay_start(&relay, &pair);
	RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	link_add_user(pair.opener.link);
	run_heartbeats(&pair, 20000);
	g_assert_false(pair.opener.closed);
	g_assert_false(link_is_stale(pair.opener.link));
	relay.stalled = true;
	run_heartbeats(&pair, LINK_PING_TIMEOUT_MS);
	g_assert_true(link_is_stale(pair.opener.link));
	run_heartbeats(&pair, 2 * LINK_HEARTBEAT_MS);
	g_assert_true(pair.opener.closed && pair.acceptor.closed);
	g_assert_cmpint(pair.opener.code, ==, LINK_ERROR_TIMEOUT);
	g_assert_cmpint(pair.acceptor.code, ==, LINK_ERROR_TIMEOUT);
	relay_stop(&relay);
	pair_stop(&pair);
}

/*
 * A process that was stopped itself reads its socket before it takes the peer
 * for timed out.
 */
static void
test_local_pause(void)
{
	struct pair pair;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	link_add_user(pair.opener.link);
	run_heartbeats(&pair, 3000);
	link_check_liveness(pair.opener.link);
	ev_run(pair.opener_loop, EVRUN_NOWAIT);
	run_loop(pair.loop);
	clock_manual_advance(&pair.clock, 10000);
	link_check_liveness(pair.opener.link);
	g_assert_false(pair.opener.closed);
	pair_stop(&pair);
}

/*
 * A link that only one side uses stays open; it is closed as idle after the
 * last user is removed.
 */
static void
test_idle(gconstpointer by_opener)
{
	struct pair pair;
	struct link *link;

	pair_start(&pair, NULL, NULL);
	RUN_UNTIL(&pair, pair.opener.opened && pair.acceptor.opened);
	link = by_opener ? pair.opener.link : pair.acceptor.link;
	link_add_user(link);
	run_heartbeats(&pair, 60000);
	g_assert_false(pair.opener.closed || pair.acceptor.closed);
	link_remove_user(link);
	run_heartbeats(&pair, LINK_IDLE_TIMEOUT_MS - LINK_HEARTBEAT_MS);
	g_assert_false(pair.opener.closed || pair.acceptor.closed);
	run_heartbeats(&pair, LINK_ACTIVE_MS + 2 * LINK_HEARTBEAT_MS);
	g_assert_true(pair.opener.closed);
	g_assert_cmpint(pair.opener.code, ==, LINK_ERROR_IDLE);
	RUN_UNTIL(&pair, pair.acceptor.closed);
	pair_stop(&pair);
}

static const struct bytes_case {
	const char *name;
	const char *bytes;
	size_t length;
	int code;
} bytes_cases[] = {
    {"a frame above the handshake's limit", "\x00\x10\x00\x00", 4,
	LINK_ERROR_FRAME},
    {"a frame that is not a message", "\x00\x00\x00\x01\x01", 5,
	LINK_ERROR_FRAME},
    {"a frame before the handshake's end",
	"\x00\x00\x00\x07\x96\x02\xa0\x00\x00\x00\x00", 11, LINK_ERROR_AUTH},
    {"an end before HELLO", "", 0, LINK_ERROR_CLOSED},
};

/* Invalid bytes on a new connection close it with a typed error. */
static void
test_invalid_bytes(gconstpointer data)
{
	const struct bytes_case *c = data;
	struct pair pair;
	g_autofree char *address = NULL;
	int fd;

	pair_start(&pair, NULL, NULL);
	link_close(pair.opener.link);
	pair.opener.closed = true;
	address = g_strdup_printf(
	    "127.0.0.1:%d", link_server_port(pair.server));
	fd = socket_connect(address, NULL);
	g_assert_cmpint(send(fd, c->bytes, c->length, MSG_NOSIGNAL), ==,
	    (ssize_t)c->length);
	if (c->length == 0)
		shutdown(fd, SHUT_WR);
	RUN_UNTIL(&pair, pair.acceptor.closed && pair.acceptor.code == c->code);
	close(fd);
	pair_stop(&pair);
}

/* Damaged and truncated frames never crash a link server. */
static void
test_fuzz(void)
{
	struct pair pair;
	g_autofree char *address = NULL;

	pair_start(&pair, NULL, NULL);
	link_close(pair.opener.link);
	pair.opener.closed = true;
	address = g_strdup_printf(
	    "127.0.0.1:%d", link_server_port(pair.server));
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		struct message hello = {.kind = MESSAGE_HELLO};
		uint8_t nonce[32] = {0};
		g_autoptr(GByteArray) bytes = g_byte_array_new();
		int fd = socket_connect(address, NULL);

		hello.hello.nonce = (struct bytes){nonce, sizeof(nonce)};
		for (int frame = 0; frame < 3; frame++) {
			g_autoptr(GByteArray)
			    body = message_encode(&hello, NULL);
			uint32_t length = htonl(body->len);

			g_byte_array_append(bytes, (uint8_t *)&length, 4);
			g_byte_array_append(bytes, body->data, body->len);
		}
		for (int flip = g_test_rand_int_range(0, 4); flip > 0; flip--)
			bytes->data[g_test_rand_int_range(
			    0, (gint32)bytes->len)] ^= (uint8_t)
			    g_test_rand_int_range(1, 256);
		send(fd, bytes->data,
		    (size_t)g_test_rand_int_range(0, (gint32)bytes->len + 1),
		    MSG_NOSIGNAL);
		run_loop(pair.loop);
		close(fd);
		run_loop(pair.loop);
	}
	pair_stop(&pair);
}

static void
on_stop_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/*
 * A process without free descriptors waits without spinning, and accepts
 * connections once there are some.
 */
static void
test_no_descriptors(void)
{
	struct pair pair;
	struct rlimit before, none;
	ev_timer stop_timer;
	unsigned int iterations;

	pair_start(&pair, NULL, NULL);
	run_loop(pair.opener_loop);
	getrlimit(RLIMIT_NOFILE, &before);
	none = before;
	none.rlim_cur = 0;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &none), ==, 0);
	ev_timer_init(&stop_timer, on_stop_timer, 0.05, 0.0);
	ev_timer_start(pair.loop, &stop_timer);
	iterations = ev_iteration(pair.loop);
	ev_run(pair.loop, 0);
	iterations = ev_iteration(pair.loop) - iterations;
	setrlimit(RLIMIT_NOFILE, &before);
	g_assert_cmpuint(iterations, <, 10);
	g_assert_false(pair.acceptor.opened);
	RUN_UNTIL(&pair, pair.acceptor.opened);
	pair_stop(&pair);
}

static const struct address_case {
	const char *name;
	const char *address;
	int code;
} address_cases[] = {
    {"a name is not an address", "localhost:80", LINK_ERROR_ADDRESS},
    {"too large a port is not an address", "127.0.0.1:70000",
	LINK_ERROR_ADDRESS},
    {"a connect without a listener fails", "127.0.0.1:1", LINK_ERROR_CONNECT},
};

static void
test_address(gconstpointer data)
{
	const struct address_case *c = data;
	struct pair pair;

	pair_start(&pair, NULL, NULL);
	link_close(pair.opener.link);
	memset(&pair.opener, 0, sizeof(pair.opener));
	pair.opener.link = link_connect(pair.opener_loop, &pair.clock.clock,
	    &pair.opener_identity, c->address, &ops, &pair.opener);
	g_assert_false(pair.opener.closed);
	RUN_UNTIL(&pair, pair.opener.closed);
	g_assert_cmpint(pair.opener.code, ==, c->code);
	pair_stop(&pair);
}

/* Ages stay correct while clocks drift and after a pause of many windows. */
static void
test_offset(void)
{
	struct clock_offset offset = {0};
	int64_t now = 5000;

	g_assert_cmpint(clock_offset_age_ms(&offset, 1, now), ==, 0);
	/* The other clock gains 1 ms per second on ours. */
	for (int i = 0; i < 1000; i++, now += 1000)
		clock_offset_add_round_trip(
		    &offset, now, now + now / 1000, now + 1);
	g_assert_cmpint(clock_offset_age_ms(&offset, now + now / 1000, now + 9),
	    <=, 9 + 2 * CLOCK_OFFSET_WINDOW_MS / 1000);
	now += 10 * CLOCK_OFFSET_WINDOW_MS;
	clock_offset_add_round_trip(&offset, now - 8000, now + now / 1000, now);
	g_assert_cmpint(
	    clock_offset_age_ms(&offset, now + now / 1000, now), <, 2000);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (size_t i = 0; i < G_N_ELEMENTS(key_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/link/key/%s", key_cases[i].name);

		g_test_add_data_func(path, &key_cases[i], test_keys);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bytes_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/link/bytes/%s", bytes_cases[i].name);

		g_test_add_data_func(path, &bytes_cases[i], test_invalid_bytes);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(address_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/link/address/%s", address_cases[i].name);

		g_test_add_data_func(path, &address_cases[i], test_address);
	}
	g_test_add_func(
	    "/link/a message sent before the handshake ends arrives after it",
	    test_early_send);
	g_test_add_func("/link/a message's age includes its time in the socket",
	    test_age_after_stop);
	g_test_add_func(
	    "/link/a message's age includes its time behind the handshake",
	    test_age_of_handshake);
	g_test_add_func("/link/the send queue is bounded", test_bounded_queue);
	g_test_add_func("/link/a silent peer is detected by the ping timeout",
	    test_ping_timeout);
	g_test_add_data_func(
	    "/link/one side's heartbeats suffice/used by the opener",
	    GINT_TO_POINTER(1), test_one_side_heartbeats);
	g_test_add_data_func(
	    "/link/one side's heartbeats suffice/used by the acceptor", NULL,
	    test_one_side_heartbeats);
	g_test_add_func(
	    "/link/work and heartbeats are counted separately", test_traffic);
	g_test_add_func("/link/a process that was stopped reads its socket "
			"before a timeout",
	    test_local_pause);
	g_test_add_data_func("/link/an idle link is closed after its last "
			     "user/used by the opener",
	    GINT_TO_POINTER(1), test_idle);
	g_test_add_data_func("/link/an idle link is closed after its last "
			     "user/used by the acceptor",
	    NULL, test_idle);
	g_test_add_func(
	    "/link/a process without free descriptors waits without spinning",
	    test_no_descriptors);
	g_test_add_func("/link/damaged frames never crash a server", test_fuzz);
	g_test_add_func(
	    "/link/ages stay correct while clocks drift", test_offset);
	return g_test_run();
}
