#include "fleet.h"

#include <sys/socket.h>

#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define OBJECTS_MAX   32
#define SPEC_MAX      8192
#define RUNS_MAX      65536
#define ID_MAX	      32
#define PAGE_MAX      65536
#define POLL_US	      20000
#define BEAT_US	      1200000
#define READY_POLLS   400
#define READY_POLL_US 50000
/* StabilityWindowMs, and the time in which gateways learn of each other. */
#define SETTLE_S 6
#define NS_PER_S 1000000000L

bool fleet_trouble;

/* An object of the store. */
struct object {
	char kind[16];
	char name[ID_MAX];
	char spec[SPEC_MAX];
	unsigned long revision;
};

/* A worker. */
struct worker {
	char id[ID_MAX];
	char zone;
	int port;
	int fd;
	unsigned int runs;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct object objects[OBJECTS_MAX];
static size_t object_count;
static unsigned long revision = 100;
static struct worker workers[FLEET_WORKERS];
static char ran[RUNS_MAX][ID_MAX];
static size_t ran_count;
static FILE *record;
static struct timespec started;
static const struct fleet_case *playing;
static long long born_ms;

/* Appends a line with the time since the start to the record. */
void
fleet_record(const char *format, ...)
{
	struct timespec now;
	va_list args;
	double at;

	clock_gettime(CLOCK_MONOTONIC, &now);
	at = (double)(now.tv_sec - started.tv_sec) +
	    (double)(now.tv_nsec - started.tv_nsec) / (double)NS_PER_S;
	pthread_mutex_lock(&lock);
	fprintf(record, "%8.3f ", at);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

/* Returns how often workers ran a request. */
unsigned int
fleet_runs(const char *id)
{
	unsigned int count = 0;

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < ran_count; i++)
		count += strcmp(ran[i], id) == 0;
	pthread_mutex_unlock(&lock);
	return count;
}

/* Starts a thread that is never joined. */
static void
start_thread(void *(*run)(void *), void *data)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, data) != 0)
		exit(2);
	pthread_detach(thread);
}

/* Creates or replaces an object; false if it exists and may not. */
static bool
put_object(const char *kind, const char *name, const char *spec, bool replace)
{
	struct object *object = NULL;

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < object_count; i++) {
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			object = &objects[i];
	}
	if (object != NULL && !replace) {
		pthread_mutex_unlock(&lock);
		return false;
	}
	if (object == NULL && object_count < OBJECTS_MAX)
		object = &objects[object_count++];
	if (object == NULL)
		exit(2);
	snprintf(object->kind, sizeof(object->kind), "%s", kind);
	snprintf(object->name, sizeof(object->name), "%s", name);
	snprintf(object->spec, sizeof(object->spec), "%s", spec);
	object->revision = ++revision;
	pthread_mutex_unlock(&lock);
	return true;
}

/*
 * Writes a kind's objects that changed after a revision, as items or as events.
 * Returns their number.
 */
static size_t
write_objects(char *out, const char *kind, unsigned long after, bool events)
{
	size_t count = 0;
	int at = snprintf(
	    out, PAGE_MAX, "{\"%s\":[", events ? "events" : "Items");

	pthread_mutex_lock(&lock);
	for (size_t i = 0; i < object_count; i++) {
		if (strcmp(objects[i].kind, kind) != 0 ||
		    objects[i].revision <= after)
			continue;
		at += snprintf(out + at, (size_t)(PAGE_MAX - at),
		    "%s%s{\"Metadata\":{\"Name\":\"%s\",\"Revision\":%lu},"
		    "\"Spec\":%s}%s",
		    count > 0 ? "," : "",
		    events ? "{\"Tombstone\":false,\"Object\":" : "",
		    objects[i].name, objects[i].revision, objects[i].spec,
		    events ? "}" : "");
		count++;
	}
	snprintf(out + at, (size_t)(PAGE_MAX - at),
	    "],\"HasMore\":false,\"StoreRevision\":%lu}", revision);
	pthread_mutex_unlock(&lock);
	return count;
}

/* Returns a number of the query; 0 if it is missing. */
static unsigned long
query_number(const char *target, const char *name)
{
	const char *at = strstr(target, name);

	return at == NULL ? 0 : strtoul(at + strlen(name), NULL, 10);
}

/* Answers a list or a watch. */
static bool
answer_read(int fd, const char *kind, const char *target)
{
	unsigned long after = query_number(target, "Watch=");
	long left_us = (long)query_number(target, "WaitMs=") * 1000;
	char *page = malloc(PAGE_MAX);
	bool ok;

	if (page == NULL)
		exit(2);
	while (write_objects(page, kind, after, after > 0) == 0 && after > 0 &&
	    left_us > 0) {
		usleep(POLL_US);
		left_us -= POLL_US;
	}
	ok = http_sendf(fd,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(page), page);
	free(page);
	return ok;
}

/* Answers the creation or replacement of a gateway's own object. */
static bool
answer_write(
    int fd, const char *kind, const struct http_message *message, bool replace)
{
	char name[ID_MAX] = "";
	char spec[SPEC_MAX] = "{}";
	const char *at = strstr(message->body, "\"Name\":\"");
	bool done;

	if (at != NULL)
		snprintf(name, sizeof(name), "%.*s", (int)strcspn(at + 8, "\""),
		    at + 8);
	at = strstr(message->body, "\"Spec\":");
	if (at != NULL)
		snprintf(
		    spec, sizeof(spec), "%.*s", (int)strlen(at) - 8, at + 7);
	done = put_object(kind, name, spec, replace);
	return http_sendf(fd,
	    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: 2\r\n\r\n{}",
	    done ? "200 OK" : "409 Conflict");
}

/* Serves one connection of the store. */
static void *
serve_store(void *data)
{
	struct http_connection connection;
	struct http_message message;
	char method[8];
	char kind[16];
	char target[256];
	bool ok = true;

	http_open(&connection, (int)(long)data);
	while (ok) {
		http_read(&connection, &message);
		ok = message.end == HTTP_COMPLETE &&
		    sscanf(message.head, "%7s %255s", method, target) == 2 &&
		    sscanf(target, "/objects/%15[a-z]", kind) == 1;
		if (ok && strcmp(method, "GET") == 0)
			ok = answer_read(connection.fd, kind, target);
		else if (ok)
			ok = answer_write(connection.fd, kind, &message,
			    strcmp(method, "PUT") == 0);
		http_message_clear(&message);
	}
	http_close(&connection);
	return NULL;
}

/* Accepts the connections of the store. */
static void *
accept_store(void *data)
{
	for (;;) {
		int fd = accept((int)(long)data, NULL, NULL);

		if (fd >= 0)
			start_thread(serve_store, (void *)(long)fd);
	}
	return NULL;
}

/* Notes a run, and answers it. */
static bool
run_request(struct worker *worker, const struct http_message *message, int fd)
{
	struct fleet_run run = {
	    .worker = worker->id, .message = message, .fd = fd};
	char id[ID_MAX] = "";
	char expected[ID_MAX] = "";
	char line[512];

	http_header(message->head, "Heatherturn-Attempt-Id", id, sizeof(id));
	http_header(message->head, "Heatherturn-Expect-Instance", expected,
	    sizeof(expected));
	if (expected[0] != '\0' && strcmp(expected, worker->id) != 0)
		return http_sendf(fd,
		    "HTTP/1.1 421 Misdirected Request\r\n"
		    "Heatherturn-Attempt-Id: %s\r\n"
		    "Heatherturn-Instance-Id: %s\r\n"
		    "Heatherturn-Not-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    id, worker->id);
	snprintf(line, sizeof(line), "%.*s", (int)strcspn(message->head, "\r"),
	    message->head);
	line[strlen(line) - strlen(" HTTP/1.1")] = '\0';
	pthread_mutex_lock(&lock);
	if (ran_count < RUNS_MAX)
		snprintf(ran[ran_count++], ID_MAX, "%s", id);
	run.number = ++worker->runs;
	pthread_mutex_unlock(&lock);
	run.id = id;
	run.request = line;
	return playing->answer(&run);
}

/* A connection of a worker. */
struct worker_connection {
	struct worker *worker;
	int fd;
};

/* Serves one connection of a worker. */
static void *
serve_worker(void *data)
{
	struct worker_connection *accepted = data;
	struct http_connection connection;
	struct http_message message;
	bool ok = true;

	http_open(&connection, accepted->fd);
	while (ok) {
		http_read(&connection, &message);
		ok = message.end == HTTP_COMPLETE &&
		    run_request(accepted->worker, &message, accepted->fd);
		http_message_clear(&message);
	}
	http_close(&connection);
	free(accepted);
	return NULL;
}

/* Accepts the connections of a worker. */
static void *
accept_worker(void *data)
{
	struct worker *worker = data;

	for (;;) {
		struct worker_connection *accepted = calloc(
		    1, sizeof(*accepted));

		if (accepted == NULL)
			exit(2);
		accepted->worker = worker;
		accepted->fd = accept(worker->fd, NULL, NULL);
		start_thread(serve_worker, accepted);
	}
	return NULL;
}

/* Writes the workers' beats into the store, again and again. */
static void *
write_beats(void *data)
{
	char spec[SPEC_MAX];

	for (unsigned int sequence = 1;; sequence++) {
		for (size_t i = 0; i < FLEET_WORKERS; i++) {
			snprintf(spec, sizeof(spec),
			    "{\"Service\":\"huvo11a\",\"Address\":"
			    "\"127.0.0.1:%d\",\"Zone\":\"zone-%c\","
			    "\"Version\":\"v1\",\"Slots\":%u,\"State\":"
			    "\"ready\",\"ColdMs\":0,\"Sequence\":%u,"
			    "\"born\":%lld}",
			    workers[i].port, workers[i].zone, playing->slots,
			    sequence, born_ms);
			put_object("servers", workers[i].id, spec, true);
		}
		if (data != NULL)
			return NULL;
		usleep(BEAT_US);
	}
	return NULL;
}

/* Starts the workers, and the store with them and the configuration. */
static void
start_fleet(int store_port)
{
	char spec[SPEC_MAX];
	int port = store_port;
	int fd;

	for (size_t i = 0; i < FLEET_WORKERS; i++) {
		snprintf(workers[i].id, sizeof(workers[i].id), "i-%zu", i + 1);
		workers[i].zone = (char)('a' + i % 3);
		workers[i].fd = http_listen(&workers[i].port);
		start_thread(accept_worker, &workers[i]);
	}
	snprintf(spec, sizeof(spec),
	    "{\"Version\":7,\"Routes\":[%s],\"Services\":[{\"Name\":"
	    "\"huvo11a\",\"HealthPath\":\"/health\",\"MaxConns\":110%s}],"
	    "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,"
	    "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	    "\"Tenants\":[{\"Name\":\"hule930\",\"Keys\":[\"" FLEET_KEY
	    "\"]}]}",
	    playing->routes, playing->service);
	put_object("config", "main", spec, true);
	write_beats(&port);
	start_thread(write_beats, NULL);
	fd = http_listen(&port);
	start_thread(accept_store, (void *)(long)fd);
}

/* Returns whether a gateway answers that it is ready. */
static bool
is_ready(int port)
{
	struct http_connection connection;
	struct http_message message;
	int fd = http_connect(port);
	bool ready;

	if (fd < 0)
		return false;
	http_open(&connection, fd);
	http_sendf(fd, "GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n");
	http_read(&connection, &message);
	ready = http_status(message.head) == 200;
	http_message_clear(&message);
	http_close(&connection);
	return ready;
}

/* Waits until a gateway is ready; exits if it does not get ready. */
static void
wait_ready(int port)
{
	for (int i = 0; i < READY_POLLS; i++) {
		if (is_ready(port))
			return;
		usleep(READY_POLL_US);
	}
	fleet_record("a gateway did not get ready");
	exit(2);
}

/*
 * Plays a case: STORE-PORT RECORD, then the port for /readyz and the port for
 * callers of each gateway. Returns the exit code: 1 if the rule was broken, 0
 * if it held.
 */
int
fleet_main(int argc, char **argv, const struct fleet_case *fleet_case)
{
	const char *trouble = getenv("TROUBLE");
	int callers[FLEET_GATEWAYS];
	unsigned int broken;

	if (argc != 3 + 2 * FLEET_GATEWAYS)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &started);
	born_ms = (long long)time(NULL) * 1000;
	fleet_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	playing = fleet_case;
	record = fopen(argv[2], "w");
	if (record == NULL)
		return 2;
	start_fleet((int)strtol(argv[1], NULL, 10));
	for (int i = 0; i < FLEET_GATEWAYS; i++) {
		callers[i] = (int)strtol(argv[4 + 2 * i], NULL, 10);
		wait_ready((int)strtol(argv[3 + 2 * i], NULL, 10));
	}
	sleep(SETTLE_S);
	fleet_record("trouble: %s", fleet_trouble ? "yes" : "no");
	broken = fleet_case->send(callers);
	fleet_record("rule broken %u times", broken);
	fclose(record);
	return broken > 0 ? 1 : 0;
}
