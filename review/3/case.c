/*
 * Case 3: one answer has a wrong byte in its Content-Length. The worker hands
 * out the whole body.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standin/fleet.h"

#define BODY_BYTES 800
/* One worker spoils one of its first 50 answers: the last of them. */
#define SPOILT_RUN   50
#define REQUESTS_MAX 400

/* Writes the whole body of a run. */
static void
write_body(char *out, const char *id)
{
	memset(out, '.', BODY_BYTES);
	out[BODY_BYTES] = '\0';
	memcpy(out, id, strlen(id));
	memcpy(out + BODY_BYTES - 4, "END\n", 4);
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

/* Answers an order. */
static bool
answer(const struct fleet_run *run)
{
	char body[BODY_BYTES + 1];
	bool spoilt = is_spoilt(run);

	write_body(body, run->id);
	fleet_record("%s runs %s: %d bytes%s", run->worker, run->id, BODY_BYTES,
	    spoilt ? ", a wrong byte in the head: Content-Length: 8x0" : "");
	return http_sendf(run->fd,
	    "HTTP/1.1 200 OK\r\nHeatherturn-Attempt-Id: %s\r\n"
	    "Heatherturn-Server-Seal: %s.%s\r\nContent-Length: %s\r\n\r\n%s",
	    run->id, run->worker, run->id, spoilt ? "8x0" : "800", body);
}

/* Checks one answer: a success is the worker's whole body. */
static bool
is_broken(const char *id, const struct http_message *answered)
{
	char whole[BODY_BYTES + 1];

	write_body(whole, id);
	fleet_record("%s sent, answered %d, %s, %zu of %d bytes, %u runs%s", id,
	    http_status(answered->head),
	    answered->end == HTTP_COMPLETE ? "complete" : "cut",
	    answered->body_length, BODY_BYTES, fleet_runs(id),
	    strcmp(id, spoilt_request) == 0 ? " - spoilt" : "");
	return answered->end == HTTP_COMPLETE &&
	    http_status(answered->head) / 100 == 2 &&
	    strcmp(answered->body, whole) != 0;
}

/* Sends orders one after the other, each on a new connection. */
static unsigned int
send_orders(const int *callers)
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
		snprintf(id, sizeof(id), "b%07x", i + 1);
		http_open(&connection, fd);
		http_sendf(fd,
		    "POST /puxa403/2f HTTP/1.1\r\nHost: " FLEET_HOST "\r\n"
		    "Heatherturn-Attempt-Id: %s\r\n"
		    "Heatherturn-Deadline-Remaining-Ms: 4000\r\n"
		    "Authorization: Bearer " FLEET_KEY "\r\n"
		    "Content-Length: 5\r\n\r\norder",
		    id);
		http_read(&connection, &answered);
		complete += answered.end == HTTP_COMPLETE &&
		    http_status(answered.head) == 200;
		broken += is_broken(id, &answered);
		http_message_clear(&answered);
		http_close(&connection);
	}
	if (!is_done)
		exit(2);
	fleet_record("%u answers complete", complete);
	return broken;
}

int
main(int argc, char **argv)
{
	static const struct fleet_case orders = {
	    .service = "",
	    .routes = "{\"Name\":\"r-1\",\"Host\":\"" FLEET_HOST "\","
		      "\"PathPrefix\":\"/puxa403/\",\"Kind\":"
		      "\"non_idempotent\",\"TimeoutMs\":4000,"
		      "\"LatencyTargetMs\":300,\"Priority\":2,\"Service\":"
		      "\"huvo11a\",\"Attempts\":1,\"Public\":false}",
	    .slots = 6,
	    .answer = answer,
	    .send = send_orders,
	};

	return fleet_main(argc, argv, &orders);
}
