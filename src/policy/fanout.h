/*
 * How a message reaches all processes: straight to those in the own failure
 * domain, and through one relay in each other domain, which passes it on there.
 *
 * Load pattern: each process tells all others of each request that it sends.
 * With hundreds of processes in several domains, most of these messages cross
 * from one domain to another, where bytes cost most; relays make that one
 * message for each domain. Each sender has relays of its own, by rendezvous
 * hash, so that the work is spread, and a relay that fails silently hides only
 * the senders that use it.
 *
 * After a common start no links are open. If everybody opened all of them,
 * small hosts would spend the first seconds on handshakes, so a domain without
 * a connected process is tried through a few of them, others each time. Its
 * processes may then get a message twice.
 */
#ifndef POLICY_FANOUT_H
#define POLICY_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Relays that are tried at once in a domain where none is connected. */
#define FANOUT_TRIED_RELAYS 2

/* What is sent to a process. */
enum fanout_role {
	FANOUT_NONE, /* it gets the message from a relay */
	FANOUT_DIRECT,
	FANOUT_RELAY, /* it passes the message on in its domain */
};

struct fanout_peer {
	const char *address;
	const char *domain; /* failure domain; NULL if unknown */
	bool connected; /* a link to it is open */
	enum fanout_role role; /* the result */
};

void fanout_assign(struct fanout_peer *, size_t count, const char *self,
    const char *own_domain, uint64_t attempt);

#endif
