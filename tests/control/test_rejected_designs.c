/*
 * Rejected designs for running a request at most once. For each design there is
 * a schedule that runs the request twice, and the same schedule with a ticket,
 * which runs it once.
 *
 * The designs are modelled in the simplest form: three hosts that remember
 * requests in memory, and daemons of the callers that choose among them.
 */

#include <string.h>

#include "support/ticket_fleet.h"

#define REQUEST 41
#define HOSTS 3

/* What a host remembers until it restarts. */
struct host_memory {
	bool ran;
	bool claimed;
	uint64_t lease_expires;
};

struct model {
	struct host_memory hosts[HOSTS];
	unsigned runs; /* number of runs at the upstreams */
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
forget(struct model *model, size_t host)
{
	memset(&model->hosts[host], 0, sizeof(model->hosts[host]));
}

/* A ticket of node 0 and the run of its request. */
struct ticket_case {
	struct ticket_fleet fleet;
	struct loom_ticket ticket;
	struct loom_ticket_run *run; /* begun but not completed */
	unsigned runs;
};

static void
ignore_result(void *arg, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
{
	(void)arg;
	(void)code;
	(void)outcome;
	(void)answer;
}

static struct loom_ticket_begin
deliver_request(struct ticket_case *ticket_case, size_t node)
{
	static const struct loom_ticket_waiter waiter = { ignore_result, NULL };
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
complete_run(struct ticket_case *ticket_case)
{
	struct loom_answer *answer = loom_answer_new(200, "", 0, "ok", 2);

	loom_tickets_finish(ticket_case->fleet.nodes[0].tickets,
	    ticket_case->run, LOOM_OUTCOME_RAN, LOOM_OK, answer);
	loom_answer_release(answer);
}

static size_t
hash_to_host(const size_t *list, size_t n)
{
	return list[REQUEST % n];
}

/*
 * Design: the request id is hashed to a host of the list of live hosts. The
 * answer is lost and the caller sends the request again, through a daemon whose
 * list is slightly newer. One host has left that list, so the hash selects
 * another.
 */
static void
hash_design(struct model *model)
{
	static const size_t old_list[] = { 0, 1, 2 };
	static const size_t new_list[] = { 0, 1 };

	run_once(model, hash_to_host(old_list, 3));
	run_once(model, hash_to_host(new_list, 2));
}

/* Both daemons send the request to the host named by the ticket. */
static void
hash_ticket(struct ticket_case *ticket_case)
{
	deliver_request(ticket_case, 0);
	complete_run(ticket_case);
	CU_ASSERT_EQUAL(deliver_request(ticket_case, 0).verdict,
	    LOOM_TICKET_VERDICT_ANSWER);
	/* A daemon that gets it by mistake does not run it. */
	CU_ASSERT_EQUAL(deliver_request(ticket_case, 1).code, LOOM_TICKET_LOST);
}

/*
 * Design: all hosts are asked whether they have seen the request, and a host
 * that does not answer in time counts as not having seen it. Host 0 has the
 * request in its queue and is paused, so it cannot answer. The repeated request
 * runs on host 1; then host 0 resumes and runs it too.
 */
static void
ask_all_design(struct model *model)
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

/*
 * The repeated request waits for the paused host or gets the outcome unknown.
 */
static void
ask_all_ticket(struct ticket_case *ticket_case)
{
	CU_ASSERT_EQUAL(
	    deliver_request(ticket_case, 1).outcome, LOOM_OUTCOME_UNKNOWN);
	deliver_request(ticket_case, 0);
	CU_ASSERT_EQUAL(deliver_request(ticket_case, 0).verdict,
	    LOOM_TICKET_VERDICT_ATTACHED);
}

/*
 * Design: a host may run a request while it holds a lease, and checks the lease
 * immediately before sending. Host 0 checks at time 9 and is paused before it
 * sends. Its lease expires at time 10, host 1 gets the next lease and runs the
 * repeated request, and host 0 resumes at time 20 and sends. There is always a
 * moment after the last check in which the lease can expire.
 */
static void
lease_design(struct model *model)
{
	bool checked;

	model->hosts[0].lease_expires = 10;
	checked = 9 < model->hosts[0].lease_expires;
	model->hosts[1].lease_expires = 30;
	if (15 < model->hosts[1].lease_expires)
		run_once(model, 1);
	if (checked)
		run_once(model, 0);
}

/* Time is irrelevant: no other host ever gets the right to run the request. */
static void
lease_ticket(struct ticket_case *ticket_case)
{
	deliver_request(ticket_case, 0);
	ticket_case->fleet.nodes[0].paused = true;
	ticket_case->fleet.now_us += 3600 * LOOM_US_PER_S;
	ticket_fleet_step(&ticket_case->fleet);
	CU_ASSERT_EQUAL(deliver_request(ticket_case, 1).code, LOOM_TICKET_LOST);
	ticket_case->fleet.nodes[0].paused = false;
	complete_run(ticket_case);
	CU_ASSERT_EQUAL(deliver_request(ticket_case, 0).verdict,
	    LOOM_TICKET_VERDICT_ANSWER);
}

/* Returns true if most hosts had not recorded the claim before. */
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
 * Design: a request is claimed on a majority of k hosts before it runs. Hosts
 * keep nothing over a restart and are replaced at any time. Two of the three
 * hosts are replaced, one after the other, and the repeated request finds a
 * majority that does not know it.
 */
static void
majority_design(struct model *model)
{
	if (claim_majority(model))
		run_once(model, 0);
	forget(model, 0);
	forget(model, 1);
	if (claim_majority(model))
		run_once(model, 1);
}

/*
 * The executor was replaced and its state is lost, so the outcome is unknown.
 */
static void
majority_ticket(struct ticket_case *ticket_case)
{
	struct loom_ticket_begin begin;
	size_t node;

	deliver_request(ticket_case, 0);
	for (node = 0; node < 2; node++) {
		ticket_fleet_kill(&ticket_case->fleet.nodes[node]);
		ticket_fleet_start(&ticket_case->fleet.nodes[node]);
	}
	for (node = 0; node < FLEET_NODES; node++) {
		begin = deliver_request(ticket_case, node);
		CU_ASSERT_EQUAL(begin.code, LOOM_TICKET_LOST);
		CU_ASSERT_EQUAL(begin.outcome, LOOM_OUTCOME_UNKNOWN);
	}
}

static void
test_designs(void)
{
	static const struct {
		const char *name;
		void (*design)(struct model *);
		void (*ticket)(struct ticket_case *);
	} cases[] = {
		{ "hash to a host of the live list", hash_design, hash_ticket },
		{ "ask all candidates", ask_all_design, ask_all_ticket },
		{ "lease", lease_design, lease_ticket },
		{ "claims at a majority", majority_design, majority_ticket },
	};
	struct ticket_case ticket_case;
	struct model model;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&model, 0, sizeof(model));
		cases[i].design(&model);
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
	{ "rejected designs", test_designs },
};

TEST_MAIN("rejected designs", tests)
