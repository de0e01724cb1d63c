#ifndef LOOM_TEST_FLEET_H
#define LOOM_TEST_FLEET_H

/*
 * Many rights parts on one fake clock and a fake network: a schedule player.
 *
 * Each daemon has a clock of its own (an offset to true time).  Messages take
 * time and may be lost, repeated and reordered; daemons may be stopped, killed
 * and started anew, or cut off.  Every call that is let in is checked at once
 * against one ideal bucket of the team's rate and burst: its level may never
 * go below zero, which is the promise over every window.
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/rights_set.h"
#include "support/test.h"

#define FLEET_DAEMONS_MAX 96
#define FLEET_TEAMS 9

struct fleet_network {
	uint64_t near_us; /* one way within a data centre */
	uint64_t far_us; /* one way between data centres */
	uint64_t jitter_us; /* added, uniform */
	bool reorder; /* jitter may also change the order of messages */
	double loss;
	double repeat;
	uint64_t handling_us; /* that a daemon takes for a message */
};

struct fleet_bucket {
	double rate_per_s;
	double burst;
	double level;
	uint64_t at_us;
};

struct fleet_team {
	struct fleet_bucket bound; /* fed with what was let in */
	struct fleet_bucket ideal; /* fed with what arrived */
	double worst; /* lowest level of the bound */
	uint64_t arrived;
	uint64_t admitted;
	uint64_t waited;
	uint64_t waited_us;
	uint64_t ideal_admitted;
	uint64_t wrongful; /* refused, but the ideal let it in */
	uint64_t retry_us; /* sum over refusals */
};

struct fleet;

/* ndaemons over ndcs data centres of one region, all started at time 0. */
struct fleet *fleet_new(unsigned ndaemons, unsigned ndcs, uint32_t seed,
    const struct loom_rights_settings *settings);
void fleet_free(struct fleet *);

struct fleet_network *fleet_network(struct fleet *);
struct fleet_team *fleet_team(struct fleet *, unsigned team);
uint64_t fleet_now(const struct fleet *);
unsigned fleet_size(const struct fleet *);
struct loom_random *fleet_random(struct fleet *);
/* Of the first partition. */
struct loom_rights *fleet_rights(struct fleet *, unsigned daemon);

/* A running daemon that takes itself for the topmost pool. */
unsigned fleet_pool(struct fleet *);

/* Ship rate, burst and slots to one daemon, the same for all teams but team 1,
 * which has a tenth.  The bound takes the larger of old and new until
 * fleet_settled(). */
void fleet_manifest(struct fleet *, unsigned daemon, double rate_per_s,
    uint32_t burst, uint32_t slots);
void fleet_manifest_all(
    struct fleet *, double rate_per_s, uint32_t burst, uint32_t slots);
/* All daemons have this rate and burst from now on. */
void fleet_settled(struct fleet *, double rate_per_s, uint32_t burst);

/* The host list that a daemon sees: those of the mask. */
void fleet_hosts(struct fleet *, unsigned daemon, const bool *listed);

/* Play until a time. */
void fleet_run(struct fleet *, uint64_t until_us);

/* A call of a team comes to a daemon now. */
void fleet_call(struct fleet *, unsigned daemon, unsigned team);

/* Poisson arrivals: calls per second of a team, spread over daemons by
 * weights (NULL: evenly), until a time. */
void fleet_load(struct fleet *, unsigned team, double per_s,
    const double *weights, uint64_t until_us);

/* Calls of all teams by chance, per_s in all, each at any daemon, until a time.
 * The first team sends so many times what each of the others does. */
void fleet_load_all(
    struct fleet *, double per_s, unsigned first_times, uint64_t until_us);

void fleet_stop(struct fleet *, unsigned daemon, uint64_t for_us);
void fleet_kill(struct fleet *, unsigned daemon);
void fleet_start(struct fleet *, unsigned daemon);
void fleet_drain(struct fleet *, unsigned daemon);
bool fleet_is_up(const struct fleet *, unsigned daemon);
/* Messages pass only within a group. */
void fleet_cut(struct fleet *, unsigned daemon, unsigned group);
void fleet_heal(struct fleet *);

/* Measured from here: counts are set to nothing. */
void fleet_reset_counts(struct fleet *);

/* Messages and bytes sent so far by one daemon. */
uint64_t fleet_messages(const struct fleet *, unsigned daemon);
uint64_t fleet_bytes(const struct fleet *, unsigned daemon);

#endif
