#ifndef LOOM_TEST_TICKET_FLEET_H
#define LOOM_TEST_TICKET_FLEET_H

/*
 * Simulates a few ticket executors of one service on one fake clock.  Their
 * control messages can be lost, delayed, duplicated and reordered, and the
 * executors can be paused, killed, drained and restarted.
 */

#include "loom/ticket.h"
#include "support/test.h"

#define FLEET_NODES 5
#define FLEET_SERVICE 77
#define FLEET_TEAM 5
#define FLEET_ROUTE 6
#define FLEET_STEP_US (10 * LOOM_US_PER_MS)

struct ticket_fleet;

struct ticket_fleet_node {
	struct ticket_fleet *fleet;
	struct loom_self self;
	struct loom_sender sender;
	struct loom_tickets *tickets; /* NULL while the process is down */
	bool paused; /* messages are held back and ticks skipped */
};

struct ticket_fleet {
	struct ticket_fleet_node nodes[FLEET_NODES];
	struct loom_random random;
	uint64_t now_us;
	struct loom_hosts *hosts;
	GArray *messages; /* in flight */
	/* the network between daemons */
	double loss;
	double duplication;
	uint64_t delay_us; /* maximum delay of a message */
	/*
	 * Called for each message that is sent; returns true to drop it.  May
	 * be NULL.
	 */
	bool (*drop)(struct ticket_fleet *,
	    const struct ticket_fleet_node *from,
	    const struct ticket_fleet_node *to, uint8_t type);
	void *arg;
};

void ticket_fleet_init(struct ticket_fleet *, uint32_t seed);
void ticket_fleet_clear(struct ticket_fleet *);

/*
 * Start a process with a new incarnation; kill one without a drain; drain one.
 */
void ticket_fleet_start(struct ticket_fleet_node *);
void ticket_fleet_kill(struct ticket_fleet_node *);
void ticket_fleet_drain(struct ticket_fleet_node *);

/* Advances time by one step: delivers messages that are due, and ticks. */
void ticket_fleet_step(struct ticket_fleet *);

/* Steps until the node has drained.  Returns false after a minute. */
bool ticket_fleet_run_until_drained(
    struct ticket_fleet *, struct ticket_fleet_node *);

/* Issues one ticket at a node. */
struct loom_ticket ticket_fleet_ticket(struct ticket_fleet_node *);

/* Passes a request with a ticket to a node that is up. */
struct loom_ticket_begin ticket_fleet_begin(struct ticket_fleet_node *,
    const struct loom_ticket *, const struct loom_ticket_waiter *);

#endif
