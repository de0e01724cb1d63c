#ifndef LOOM_TEST_SPREAD_FLEET_H
#define LOOM_TEST_SPREAD_FLEET_H

/*
 * Simulates a fleet of gossip protocol instances in one process: a fake clock,
 * a network that loses, delays, repeats and reorders messages by a seed, and a
 * platform whose state is set for each node.  The protocol's decisions are all
 * made by the code under test.
 */

#include <glib.h>
#include <talloc.h>

#include "loom/age.h"
#include "loom/spread.h"
#include "support/test.h"

#define FLEET_NAMES 16
/* Bytes of a message besides its payload: the envelope (about 55), ZMTP and
 * CURVE framing (35), TCP and IP headers (40). */
#define FLEET_MESSAGE_BYTES 130
/*
 * Bytes of a new connection: the TCP and CURVE handshakes in both directions.
 */
#define FLEET_CONNECT_BYTES 1500

enum spread_fleet_platform {
	FLEET_UP,
	FLEET_DOWN,
	FLEET_STALE, /* answers as of stale_revision */
};

struct spread_fleet;

struct spread_fleet_node {
	struct spread_fleet *fleet;
	struct loom_spread *spread;
	char name[32];
	char data_centre[32];
	uint32_t dc;
	uint64_t host_id;
	uint64_t incarnation;
	uint64_t paused_until_us;
	bool running;
	/* the platform as this node sees it */
	enum spread_fleet_platform platform;
	uint64_t stale_revision;
	uint64_t next_revision;
	uint64_t next_call_us;
	uint64_t call_end_us;
	uint64_t sent_us; /* when the current watch was sent */
	bool watching;
	bool fetching;
	/* recorded for the checks */
	struct loom_spread_version held[FLEET_NAMES];
	uint64_t applied[FLEET_NAMES];
	uint64_t applied_us[FLEET_NAMES];
	uint64_t ready_us;
	uint64_t bytes;
	unsigned regressions;
	unsigned understated_ages; /* ages that check_age() found too low */
};

struct spread_fleet_options {
	uint32_t nodes;
	uint32_t dcs;
	uint32_t seed;
	uint32_t loss_permille;
	uint32_t duplicate_permille;
	uint32_t delay_permille; /* delayed by up to 0.5 s more */
	uint64_t within_us; /* of the nodes; 0 for the default */
	bool checks_age; /* with check_age(), at each tick */
};

struct spread_fleet {
	struct spread_fleet_options options;
	struct loom_random random;
	uint64_t now_us;
	struct spread_fleet_node *nodes; /* options.nodes of them */
	GHashTable *by_id;
	struct loom_hosts *hosts;
	GArray *puts; /* struct spread_fleet_put */
	GPtrArray *events; /* struct spread_fleet_event */
	GHashTable *connections; /* pair of nodes: time of last use */
	uint64_t sequence;
	uint64_t calls; /* to the platform */
	uint64_t messages;
	bool partitioned[8][8]; /* between data centres */
};

void spread_fleet_start(
    struct spread_fleet *, const struct spread_fleet_options *);
void spread_fleet_stop(struct spread_fleet *);

/* Runs the fleet until the clock reaches this time. */
void spread_fleet_run(struct spread_fleet *, uint64_t until_us);
/* Runs until all running nodes have the version of the name in effect; returns
 * false if the limit passes first. */
bool spread_fleet_run_until(
    struct spread_fleet *, unsigned name, uint64_t version, uint64_t limit_us);
/* Runs until all running nodes are ready; returns false if the limit passes
 * first. */
bool spread_fleet_run_ready(struct spread_fleet *, uint64_t limit_us);

/* Writes a version of a document of about size bytes to the platform; writer
 * tells two texts of one version apart. */
void spread_fleet_put(struct spread_fleet *, unsigned name, uint64_t version,
    char writer, uint32_t size);
/* Returns the platform's current revision. */
uint64_t spread_fleet_revision(const struct spread_fleet *);

void spread_fleet_restart(struct spread_fleet *, uint32_t node);
void spread_fleet_kill(struct spread_fleet *, uint32_t node);
void spread_fleet_pause(
    struct spread_fleet *, uint32_t node, uint64_t until_us);
void spread_fleet_set_partitioned(
    struct spread_fleet *, uint32_t dc_a, uint32_t dc_b, bool partitioned);
void spread_fleet_platform(struct spread_fleet *, enum spread_fleet_platform);

/* Returns the highest age among the nodes that run and are not paused. */
uint64_t spread_fleet_max_age_us(const struct spread_fleet *);
/* Returns how many ages were lower than the true one. */
unsigned spread_fleet_understated_ages(const struct spread_fleet *);

/* Returns how often any node's version went back. */
unsigned spread_fleet_regressions(const struct spread_fleet *);
/* Returns whether all running nodes hold the same versions. */
bool spread_fleet_agrees(const struct spread_fleet *);

#endif
