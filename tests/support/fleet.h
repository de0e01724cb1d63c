#ifndef LOOM_TEST_FLEET_H
#define LOOM_TEST_FLEET_H

/*
 * A discrete-event simulation of the rights components of a fleet, with a
 * simulated clock and network.
 *
 * Each daemon has its own clock, at an offset from simulated time.  Messages
 * are delayed and may be lost, duplicated and reordered.  Daemons may be
 * stopped, killed, restarted and partitioned from each other.
 *
 * Every admitted call that runs is taken from one token bucket with the team's
 * rate and burst (fleet_team.bound).  If its level goes below zero, the fleet
 * admitted more than burst + rate * length in some window of time, which it
 * guarantees not to do.  Tests check the lowest level (fleet_team.worst).
 */

#include <stdbool.h>
#include <stdint.h>

#include "loom/rights_set.h"
#include "support/test.h"

#define FLEET_DAEMONS_MAX 96
#define FLEET_TEAMS 9

struct fleet_network {
	uint64_t within_data_centre_us; /* one-way delay within a data centre */
	uint64_t
	    between_data_centres_us; /* one-way delay between data centres */
	uint64_t jitter_us; /* maximum added delay; uniform */
	bool reorder; /* jitter may change the order of messages */
	double loss; /* probability */
	double duplication; /* probability that a message arrives twice */
	uint64_t handling_us; /* time a daemon needs for one message */
};

/* Admitted calls that are then refused without having run. They give their
 * token back and are not charged to the bound. */
struct fleet_returns {
	double part; /* probability */
	uint64_t after_us; /* until then; uniform below this */
};

struct fleet_bucket {
	double rate_per_s;
	double burst;
	double level;
	uint64_t updated_us;
};

struct fleet_team {
	struct fleet_bucket bound; /* charged with each admitted call */
	/* takes each arriving call, unless its level is below 1 */
	struct fleet_bucket ideal;
	double worst; /* lowest level of bound */
	uint64_t arrived;
	uint64_t admitted;
	uint64_t waited; /* calls without an immediate result */
	uint64_t waited_us;
	uint64_t ideal_admitted;
	uint64_t wrongful; /* refused, though ideal admitted it */
	uint64_t retry_us; /* sum of the retry delays of refusals */
	uint64_t returned; /* admitted calls that did not run */
};

struct fleet;

/* ndaemons daemons, assigned in turn to ndcs data centres of one region, all
 * started when the simulation begins. */
struct fleet *fleet_new(unsigned ndaemons, unsigned ndcs, uint32_t seed,
    const struct loom_rights_settings *settings);
void fleet_free(struct fleet *);

struct fleet_network *fleet_network(struct fleet *);
struct fleet_returns *fleet_returns(struct fleet *);
struct fleet_team *fleet_team(struct fleet *, unsigned team);
uint64_t fleet_now(const struct fleet *);
unsigned fleet_size(const struct fleet *);
struct loom_random *fleet_random(struct fleet *);
/* The first partition of a daemon's rights. */
struct loom_rights *fleet_rights(struct fleet *, unsigned daemon);

/* A running daemon that considers itself the topmost pool; 0 if none does. */
unsigned fleet_topmost_pool(struct fleet *);

/* Gives one daemon a manifest with this rate, burst and slots.  All teams have
 * the same rate and burst, except team 1, which has a tenth.  Until
 * fleet_set_bound(), bound uses the larger of the old and new values, as
 * daemons may differ. */
void fleet_set_manifest(struct fleet *, unsigned daemon, double rate_per_s,
    uint32_t burst, uint32_t slots);
/* Gives all daemons such a manifest and calls fleet_set_bound(). */
void fleet_set_manifest_all(
    struct fleet *, double rate_per_s, uint32_t burst, uint32_t slots);
/* From now on, bound and ideal use this rate and burst.  To be called when all
 * daemons have them. */
void fleet_set_bound(struct fleet *, double rate_per_s, uint32_t burst);

/* Sets the host list of one daemon: those with listed[i]; NULL for all. */
void fleet_set_hosts(struct fleet *, unsigned daemon, const bool *listed);

/* Runs all events until a time. */
void fleet_run(struct fleet *, uint64_t until_us);

/* A call of a team arrives at a daemon now; ignored unless it is up. */
void fleet_call(struct fleet *, unsigned daemon, unsigned team);

/* Simulates Poisson arrivals of a team until a time: per_s calls a second, each
 * at a random daemon in proportion to weights (NULL for equal ones). */
void fleet_load(struct fleet *, unsigned team, double per_s,
    const double *weights, uint64_t until_us);

/* Simulates calls of all teams at random daemons until a time, per_s calls a
 * second in total.  The first team sends first_times as many as each other. */
void fleet_load_all(
    struct fleet *, double per_s, unsigned first_times, uint64_t until_us);

/* The daemon handles nothing for this time; messages and ticks wait, and calls
 * that arrive are ignored. */
void fleet_stop(struct fleet *, unsigned daemon, uint64_t for_us);
void fleet_kill(struct fleet *, unsigned daemon);
void fleet_start(struct fleet *, unsigned daemon);
void fleet_drain(struct fleet *, unsigned daemon);
bool fleet_is_up(const struct fleet *, unsigned daemon);
/* Assigns a daemon to a group.  Messages pass only within a group;
 * fleet_reset_groups() assigns all daemons to group 0. */
void fleet_set_group(struct fleet *, unsigned daemon, unsigned group);
void fleet_reset_groups(struct fleet *);

/* Sets all counts to 0 and worst to the burst; keeps the buckets. */
void fleet_reset_counts(struct fleet *);

/* Messages and bytes sent so far by one daemon. */
uint64_t fleet_messages(const struct fleet *, unsigned daemon);
uint64_t fleet_bytes(const struct fleet *, unsigned daemon);

#endif
