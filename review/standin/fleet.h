/*
 * The platform and the workers of a small deployment, as far as the cases of
 * the review need them, and a record of what was sent, answered and run.
 *
 * The store has the servers, the configuration and the gateways' own objects;
 * it lists, watches, creates and replaces. The workers register, write a beat
 * every 1.2 s, reject a request that expects another instance with 421, and
 * otherwise run it and answer as the case says.
 */
#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include "http.h"

#define FLEET_WORKERS  5
#define FLEET_GATEWAYS 3
#define FLEET_KEY      "n2ctnfzs989anu6wsjnb"
#define FLEET_HOST     "ficu95.example"

/* A request at a worker. */
struct fleet_run {
	const char *worker;
	unsigned int number; /* of the worker's runs, from 1 on */
	const char *request; /* its line, without the version */
	const char *id;
	const struct http_message *message;
	int fd;
};

/* A case: how workers answer, and what clients send. */
struct fleet_case {
	const char *service; /* JSON members of the service */
	const char *routes; /* JSON of the routes */
	unsigned int slots; /* of a worker */
	/* Answers a run; false closes the connection. */
	bool (*answer)(const struct fleet_run *run);
	/* Sends requests; returns how often the rule was broken. */
	unsigned int (*send)(const int *callers);
};

extern bool fleet_trouble; /* whether the disruption is played */

int fleet_main(int argc, char **argv, const struct fleet_case *fleet_case);
void fleet_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
unsigned int fleet_runs(const char *id);

#endif
