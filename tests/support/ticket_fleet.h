#ifndef LOOM_TEST_TICKET_FLEET_H
#define LOOM_TEST_TICKET_FLEET_H

/*
 * A schedule player for tickets: a few executors of one service on one fake
 * clock, whose control messages are lost, delayed, repeated and reordered,
 * and which are paused, killed, drained and started anew.
 */

#include "loom/ticket.h"
#include "support/test.h"

#define FLEET_NODES 5
#define FLEET_SERVICE 77
#define FLEET_TEAM 5
#define FLEET_ROUTE 6
#define FLEET_STEP_US (10 * LOOM_US_PER_MS)

struct fleet;

struct fleet_node {
	struct fleet *fleet;
	struct loom_self self;
	struct loom_sender sender;
	struct loom_tickets *tickets; /* NULL while the process is gone */
	bool paused; /* messages wait, ticks are missed */
};

struct fleet {
	struct fleet_node nodes[FLEET_NODES];
	struct loom_random random;
	uint64_t now_us;
	struct loom_hosts *hosts;
	GArray *messages; /* in flight */
	/* The network between daemons. */
	double loss;
	double duplication;
	uint64_t delay_us; /* at most */
	/* A test's own eye on each message; true to drop it.  May be NULL. */
	bool (*drop)(struct fleet *, const struct fleet_node *from,
	    const struct fleet_node *to, uint8_t type);
	void *arg;
};

void fleet_init(struct fleet *, uint32_t seed);
void fleet_clear(struct fleet *);

/* Start a process with a new incarnation; end one at once. */
void fleet_start(struct fleet_node *);
void fleet_kill(struct fleet_node *);
void fleet_drain(struct fleet_node *);

/* One step of time: messages that are due, and ticks. */
void fleet_step(struct fleet *);

/* Steps until the node has drained; false after a minute. */
bool fleet_run_until_drained(struct fleet *, struct fleet_node *);

/* One ticket of a node. */
struct loom_ticket fleet_ticket(struct fleet_node *);

/* A ticket's request arrives at a node that is up. */
struct loom_ticket_begin fleet_begin(struct fleet_node *,
    const struct loom_ticket *, const struct loom_ticket_waiter *);

#endif
