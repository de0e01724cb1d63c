/*
 * Ways to run a request at most once that were weighed and left: for each the
 * schedule that runs it twice, and the same schedule with a ticket.
 *
 * The ways are modelled as small as they can be: three hosts that remember in
 * memory, and callers' daemons that choose among them.
 */

#include <string.h>

#include "support/ticket_fleet.h"

#define REQUEST 41
#define HOSTS 3

/* What a host remembers until it is restarted. */
struct memory {
	bool ran;
	bool claimed;
	uint64_t lease_until;
};

struct model {
	struct memory hosts[HOSTS];
	unsigned runs; /* by the upstreams' own count */
};

static void
run_once(struct model *model, size_t host)
{
	if (model->hosts[host].ran)
		return;
	model->hosts[host].ran = true;
	model->runs++;
}

static void
restart(struct model *model, size_t host)
{
	memset(&model->hosts[host], 0, sizeof(model->hosts[host]));
}

/* A ticket of node 0, and what happens to one copy of its request. */
struct ticket_case {
	struct ticket_fleet fleet;
	struct loom_ticket ticket;
	struct loom_ticket_run *run; /* begun and not ended */
	unsigned runs;
};

static void
ignore_done(void *arg, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
{
	(void)arg;
	(void)code;
	(void)outcome;
	(void)answer;
}

static struct loom_ticket_begin
copy_arrives(struct ticket_case *ticket_case, size_t node)
{
	static const struct loom_ticket_waiter waiter = { ignore_done, NULL };
	struct loom_ticket_begin begin;

	begin = ticket_fleet_begin(
	    &ticket_case->fleet.nodes[node], &ticket_case->ticket, &waiter);
	loom_answer_release(begin.answer);
	if (begin.verdict == LOOM_TICKET_VERDICT_RUN) {
		ticket_case->run = begin.run;
		ticket_case->runs++;
	}
	return begin;
}

static void
run_ends(struct ticket_case *ticket_case)
{
	struct loom_answer *answer = loom_answer_new(200, "", 0, "ok", 2);

	loom_tickets_finish(ticket_case->fleet.nodes[0].tickets,
	    ticket_case->run, LOOM_OUTCOME_RAN, LOOM_OK, answer);
	loom_answer_release(answer);
}

static size_t
hash_onto(const size_t *list, size_t n)
{
	return list[REQUEST % n];
}

/*
 * Way: the request's id is hashed onto the list of live hosts.
 * The answer is lost and the caller sends again, through a daemon whose list
 * is a moment newer: one host has left it, and the hash picks another.
 */
static void
hash_way(struct model *model)
{
	static const size_t old_list[] = { 0, 1, 2 };
	static const size_t new_list[] = { 0, 1 };

	run_once(model, hash_onto(old_list, 3));
	run_once(model, hash_onto(new_list, 2));
}

/* Both daemons send the ticket to the host that it names. */
static void
hash_ticket(struct ticket_case *ticket_case)
{
	copy_arrives(ticket_case, 0);
	run_ends(ticket_case);
	CU_ASSERT_EQUAL(
	    copy_arrives(ticket_case, 0).verdict, LOOM_TICKET_VERDICT_ANSWER);
	/* And a daemon that is wrong about it runs nothing. */
	CU_ASSERT_EQUAL(copy_arrives(ticket_case, 1).code, LOOM_TICKET_LOST);
}

/*
 * Way: all hosts are asked whether they have seen the request, and a host
 * that says nothing within a time counts as no.
 * Host 0 has the request in its queue and is paused; it cannot answer.  The
 * repeated request runs on host 1, then host 0 wakes up and goes on.
 */
static void
ask_all_way(struct model *model)
{
	bool paused[HOSTS] = { true, false, false };
	bool seen = false;
	size_t host;

	for (host = 0; host < HOSTS; host++)
		seen |= !paused[host] && model->hosts[host].ran;
	if (!seen)
		run_once(model, 1);
	run_once(model, 0);
}

/* The repeated request waits for the paused host or is told unknown. */
static void
ask_all_ticket(struct ticket_case *ticket_case)
{
	CU_ASSERT_EQUAL(
	    copy_arrives(ticket_case, 1).outcome, LOOM_OUTCOME_UNKNOWN);
	copy_arrives(ticket_case, 0);
	CU_ASSERT_EQUAL(
	    copy_arrives(ticket_case, 0).verdict, LOOM_TICKET_VERDICT_ATTACHED);
}

/*
 * Way: a host may run what it holds a lease for, and checks the lease right
 * before it sends.
 * Host 0 checks at 9 and is paused before it sends; its lease ends at 10, host
 * 1 gets the next one and runs the repeated request; host 0 wakes up at 20
 * and sends.  No check can stand after the last one.
 */
static void
lease_way(struct model *model)
{
	bool checked;

	model->hosts[0].lease_until = 10;
	checked = 9 < model->hosts[0].lease_until;
	model->hosts[1].lease_until = 30;
	if (15 < model->hosts[1].lease_until)
		run_once(model, 1);
	if (checked)
		run_once(model, 0);
}

/* Time plays no part: no other host ever gets the right to run it. */
static void
lease_ticket(struct ticket_case *ticket_case)
{
	copy_arrives(ticket_case, 0);
	ticket_case->fleet.nodes[0].paused = true;
	ticket_case->fleet.now_us += 3600 * LOOM_US_PER_S;
	ticket_fleet_step(&ticket_case->fleet);
	CU_ASSERT_EQUAL(copy_arrives(ticket_case, 1).code, LOOM_TICKET_LOST);
	ticket_case->fleet.nodes[0].paused = false;
	run_ends(ticket_case);
	CU_ASSERT_EQUAL(
	    copy_arrives(ticket_case, 0).verdict, LOOM_TICKET_VERDICT_ANSWER);
}

/* True when most hosts record the claim that they had not heard before. */
static bool
claim_majority(struct model *model)
{
	unsigned granted = 0;
	size_t host;

	for (host = 0; host < HOSTS; host++) {
		granted += !model->hosts[host].claimed;
		model->hosts[host].claimed = true;
	}
	return granted > HOSTS / 2;
}

/*
 * Way: before it runs, a request is claimed on a majority of k hosts.
 * Hosts keep nothing over a restart, and are replaced at any time.  Two of
 * the three are, one after the other; the repeated request finds a majority
 * that has never heard of it.
 */
static void
majority_way(struct model *model)
{
	if (claim_majority(model))
		run_once(model, 0);
	restart(model, 0);
	restart(model, 1);
	if (claim_majority(model))
		run_once(model, 1);
}

/* The executor was replaced, and what it knew with it: unknown. */
static void
majority_ticket(struct ticket_case *ticket_case)
{
	struct loom_ticket_begin begin;
	size_t node;

	copy_arrives(ticket_case, 0);
	for (node = 0; node < 2; node++) {
		ticket_fleet_kill(&ticket_case->fleet.nodes[node]);
		ticket_fleet_start(&ticket_case->fleet.nodes[node]);
	}
	for (node = 0; node < FLEET_NODES; node++) {
		begin = copy_arrives(ticket_case, node);
		CU_ASSERT_EQUAL(begin.code, LOOM_TICKET_LOST);
		CU_ASSERT_EQUAL(begin.outcome, LOOM_OUTCOME_UNKNOWN);
	}
}

static void
test_ways(void)
{
	static const struct {
		const char *name;
		void (*way)(struct model *);
		void (*ticket)(struct ticket_case *);
	} cases[] = {
		{ "hash onto the live list", hash_way, hash_ticket },
		{ "ask all candidates", ask_all_way, ask_all_ticket },
		{ "lease", lease_way, lease_ticket },
		{ "claims on a majority", majority_way, majority_ticket },
	};
	struct ticket_case ticket_case;
	struct model model;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&model, 0, sizeof(model));
		cases[i].way(&model);
		TEST_CHECK(model.runs == 2, "%s: %u runs without tickets",
		    cases[i].name, model.runs);
		memset(&ticket_case, 0, sizeof(ticket_case));
		ticket_fleet_init(&ticket_case.fleet, 1);
		ticket_case.ticket =
		    ticket_fleet_ticket(&ticket_case.fleet.nodes[0]);
		cases[i].ticket(&ticket_case);
		TEST_CHECK(ticket_case.runs == 1, "%s: %u runs with a ticket",
		    cases[i].name, ticket_case.runs);
		ticket_fleet_clear(&ticket_case.fleet);
	}
}

static const struct test_case tests[] = {
	{ "rejected ways", test_ways },
};

TEST_MAIN("rejected ways", tests)
