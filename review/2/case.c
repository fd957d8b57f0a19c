/*
 * Case 2: one event of a stream has a wrong byte in its id. The worker hands
 * out the rest of the stream correctly.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin/fleet.h"

#define EVENTS	     16
#define EVENT_US     3000
#define SPOILT_EVENT 10
#define SPOILT_ID    90 /* one digit differs */
/* One worker spoils one of its first 50 answers: the last of them. */
#define SPOILT_RUN   50
#define REQUESTS_MAX 400
#define TEXT_MAX     4096

/* Writes the whole body of a run: what its worker hands out. */
static void
write_body(char *out, const char *id, bool spoilt)
{
	size_t at = 0;

	out[0] = '\0';
	for (int i = 1; i <= EVENTS; i++)
		at += (size_t)snprintf(out + at, TEXT_MAX - at,
		    "id: %d\ndata: %s piece %d\n\n",
		    spoilt && i == SPOILT_EVENT ? SPOILT_ID : i, id, i);
}

static char spoilt_request[32];
static bool is_done; /* a worker has answered SPOILT_RUN requests */

/* Returns whether a run's answer is the one that is spoilt. */
static bool
is_spoilt(const struct fleet_run *run)
{
	if (run->number != SPOILT_RUN || is_done)
		return false;
	is_done = true;
	if (fleet_trouble)
		snprintf(spoilt_request, sizeof(spoilt_request), "%s", run->id);
	return fleet_trouble;
}

/* Streams the events. */
static bool
answer(const struct fleet_run *run)
{
	char body[TEXT_MAX];
	bool spoilt = is_spoilt(run);
	const char *at = body;

	write_body(body, run->id, spoilt);
	fleet_record("%s runs %s: %d events%s", run->worker, run->id, EVENTS,
	    spoilt ? ", a wrong byte in the id of event 10: 90" : "");
	if (!http_sendf(run->fd,
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"Heatherturn-Attempt-Id: %s\r\n"
		"Heatherturn-Server-Seal: %s.%s\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		run->id, run->worker, run->id))
		return false;
	while (*at != '\0') {
		const char *end = strstr(at, "\n\n") + 2;

		usleep(EVENT_US);
		if (!http_sendf(run->fd, "%zx\r\n%.*s\r\n", (size_t)(end - at),
			(int)(end - at), at))
			return false;
		at = end;
	}
	return http_sendf(run->fd, "0\r\n\r\n");
}

/* Returns how many pieces of a stream a text holds. */
static int
count_pieces(const char *text)
{
	int count = 0;

	for (text = strstr(text, " piece "); text != NULL;
	     text = strstr(text + 1, " piece "))
		count++;
	return count;
}

/*
 * Checks one answer: a stream that ends as complete has all pieces that a run
 * makes, in their order and with their ids. A piece that is spoilt must not be
 * among them; another run may go on before it.
 */
static bool
is_broken(const char *id, const struct http_message *answered)
{
	char whole[TEXT_MAX];
	bool spoilt = strcmp(id, spoilt_request) == 0;

	write_body(whole, id, false);
	fleet_record("%s sent, answered %d, %s, %d of %d pieces, %u runs%s", id,
	    http_status(answered->head),
	    answered->end == HTTP_COMPLETE ? "complete" : "cut",
	    count_pieces(answered->body), EVENTS, fleet_runs(id),
	    spoilt ? " - spoilt" : "");
	return answered->end == HTTP_COMPLETE &&
	    http_status(answered->head) == 200 &&
	    strcmp(answered->body, whole) != 0;
}

/* Sends streams one after the other, each on a new connection. */
static unsigned int
send_streams(const int *callers)
{
	unsigned int broken = 0;
	unsigned int complete = 0;

	for (unsigned int i = 0; i < REQUESTS_MAX && !is_done; i++) {
		struct http_connection connection;
		struct http_message answered;
		char id[32];
		int fd = http_connect(callers[i % FLEET_GATEWAYS]);

		if (fd < 0)
			exit(2);
		snprintf(id, sizeof(id), "a%07x", i + 1);
		http_open(&connection, fd);
		http_sendf(fd,
		    "POST /lohu930/2f HTTP/1.1\r\nHost: " FLEET_HOST "\r\n"
		    "Heatherturn-Attempt-Id: %s\r\nHeatherturn-Model: m\r\n"
		    "Heatherturn-Token-Count: 4960,816\r\n"
		    "Heatherturn-Prompt-Prefix: 5c1e07a2:40,%x:4920\r\n"
		    "Heatherturn-Deadline-Remaining-Ms: 10000\r\n"
		    "Authorization: Bearer " FLEET_KEY "\r\n"
		    "Content-Length: 5\r\n\r\nverse",
		    id, i + 1);
		http_read(&connection, &answered);
		complete += answered.end == HTTP_COMPLETE &&
		    http_status(answered.head) == 200;
		broken += is_broken(id, &answered);
		http_message_clear(&answered);
		http_close(&connection);
	}
	if (!is_done)
		exit(2);
	fleet_record("%u streams complete", complete);
	return broken;
}

int
main(int argc, char **argv)
{
	static const struct fleet_case streams = {
	    .service = ",\"Engine\":{\"Slots\":16,\"KvTokens\":315000,"
		       "\"Stride\":51,\"step_ms\":0.85,\"per_seq_ms\":0.00425,"
		       "\"context_per_k\":0.00285,\"read_per_s\":177000.0,"
		       "\"pairs_per_m\":0.184,\"chunk\":2048}",
	    .routes = "{\"Name\":\"r-1\",\"Host\":\"" FLEET_HOST "\","
		      "\"PathPrefix\":\"/lohu930/\",\"Kind\":\"stream\","
		      "\"TimeoutMs\":10000,\"LatencyTargetMs\":300,"
		      "\"Priority\":1,\"Service\":\"huvo11a\",\"Attempts\":2,"
		      "\"Public\":false,\"Sticky\":true,\"CanResume\":true,"
		      "\"GapTargetMs\":250}",
	    .slots = 16,
	    .answer = answer,
	    .send = send_streams,
	};

	return fleet_main(argc, argv, &streams);
}
