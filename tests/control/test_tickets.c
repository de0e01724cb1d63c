/*
 * Tickets at one executor, and their handover, step by step.
 */

#include <stdatomic.h>
#include <string.h>

#include "inner/handover_codec.h"
#include "support/ticket_fleet.h"

struct waiter_result {
	unsigned count;
	enum loom_result code;
	enum loom_outcome outcome;
	uint16_t status;
};

static void
record_result(void *arg, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
{
	struct waiter_result *waiter_result = arg;

	waiter_result->count++;
	waiter_result->code = code;
	waiter_result->outcome = outcome;
	waiter_result->status = answer != NULL ? answer->status : 0;
}

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
begin(struct ticket_fleet_node *node, const struct loom_ticket *ticket)
{
	const struct loom_ticket_waiter waiter = { ignore_done, NULL };

	return ticket_fleet_begin(node, ticket, &waiter);
}

static void
finish(struct ticket_fleet_node *node, struct loom_ticket_run *run,
    uint16_t status)
{
	struct loom_answer *answer =
	    loom_answer_new(status, "X: y\r\n", 6, "body", 4);

	loom_tickets_finish(
	    node->tickets, run, LOOM_OUTCOME_RAN, LOOM_OK, answer);
	loom_answer_release(answer);
}

/*
 * The executor refuses a ticket of which a byte was changed, also if its last
 * byte is missing.
 */
static void
test_forged(void)
{
	struct loom_random random = test_random_new(5);
	char texts[1][LOOM_TICKET_TEXT_MAX], copy[LOOM_TICKET_TEXT_MAX];
	struct loom_ticket ticket;
	struct ticket_fleet fleet;
	unsigned i, ran = 0;
	size_t len;

	ticket_fleet_init(&fleet, 1);
	CU_ASSERT_EQUAL(loom_tickets_issue(fleet.nodes[0].tickets, FLEET_TEAM,
			    FLEET_ROUTE, 1, texts),
	    LOOM_OK);
	len = strlen(texts[0]);
	for (i = 0; i < 20000; i++) {
		memcpy(copy, texts[0], sizeof(copy));
		copy[loom_random_below(&random, len)] ^=
		    (char)(1 + loom_random_below(&random, 255));
		if (loom_ticket_parse(copy, len - loom_random_below(&random, 2),
			&ticket) != LOOM_OK)
			continue;
		ran += begin(&fleet.nodes[0], &ticket).verdict ==
		    LOOM_TICKET_VERDICT_RUN;
	}
	CU_ASSERT_EQUAL(ran, 0);
	ticket_fleet_clear(&fleet);
	test_random_free(&random);
}

/*
 * Refuses a ticket that arrives with another team or route, or at another host.
 */
static void
test_mismatched_request(void)
{
	static const struct {
		const char *name;
		size_t node;
		uint64_t team_id;
		uint64_t route_id;
		enum loom_result code;
	} cases[] = {
		{ "other team", 0, FLEET_TEAM + 1, FLEET_ROUTE,
		    LOOM_TICKET_INVALID },
		{ "other route", 0, FLEET_TEAM, FLEET_ROUTE + 1,
		    LOOM_TICKET_INVALID },
		{ "other host", 1, FLEET_TEAM, FLEET_ROUTE, LOOM_TICKET_LOST },
		{ "right", 0, FLEET_TEAM, FLEET_ROUTE, LOOM_OK },
	};
	struct loom_request_digest digest = { .head = "x" };
	struct loom_ticket_waiter waiter = { record_result, NULL };
	struct loom_ticket_begin out;
	struct loom_ticket ticket;
	struct ticket_fleet fleet;
	size_t i;

	ticket_fleet_init(&fleet, 1);
	ticket = ticket_fleet_ticket(&fleet.nodes[0]);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		loom_tickets_begin(fleet.nodes[cases[i].node].tickets, &ticket,
		    cases[i].team_id, cases[i].route_id, &digest, &waiter,
		    &out);
		TEST_CHECK(out.code == cases[i].code, "%s: %d", cases[i].name,
		    out.code);
	}
	ticket_fleet_clear(&fleet);
}

/*
 * Copies that wait for a run get its result: the same answer, or the refusal
 * that the caller of the run got.
 */
static void
test_waiters(void)
{
	static const struct {
		bool abandon;
		enum loom_result code;
		enum loom_outcome outcome;
		uint16_t status;
	} cases[] = {
		{ false, LOOM_OK, LOOM_OUTCOME_RAN, 201 },
		{ true, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN, 0 },
	};
	struct waiter_result waiter_result;
	const struct loom_ticket_waiter waiter = { record_result,
		&waiter_result };
	struct loom_ticket_begin run;
	struct loom_ticket ticket;
	struct ticket_fleet fleet;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&waiter_result, 0, sizeof(waiter_result));
		ticket_fleet_init(&fleet, 1);
		ticket = ticket_fleet_ticket(&fleet.nodes[0]);
		run = begin(&fleet.nodes[0], &ticket);
		ticket_fleet_begin(&fleet.nodes[0], &ticket, &waiter);
		if (cases[i].abandon)
			loom_tickets_abandon(
			    fleet.nodes[0].tickets, run.run, LOOM_OVERLOAD);
		else
			finish(&fleet.nodes[0], run.run, 201);
		CU_ASSERT_EQUAL(waiter_result.count, 1);
		CU_ASSERT_EQUAL(waiter_result.code, cases[i].code);
		CU_ASSERT_EQUAL(waiter_result.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(waiter_result.status, cases[i].status);
		ticket_fleet_clear(&fleet);
	}
}

/*
 * The executor is killed and starts again on the same host.  It cannot know
 * which tickets ran, so it must report unknown, never not-run, and run none of
 * them.
 */
static void
test_restart(void)
{
	struct loom_ticket_begin out;
	struct loom_ticket ticket;
	struct ticket_fleet fleet;

	ticket_fleet_init(&fleet, 1);
	ticket = ticket_fleet_ticket(&fleet.nodes[0]);
	ticket_fleet_kill(&fleet.nodes[0]);
	ticket_fleet_start(&fleet.nodes[0]);
	out = begin(&fleet.nodes[0], &ticket);
	CU_ASSERT_EQUAL(out.code, LOOM_TICKET_LOST);
	CU_ASSERT_EQUAL(out.outcome, LOOM_OUTCOME_UNKNOWN);
	ticket_fleet_clear(&fleet);
}

static struct ticket_fleet_node *
find_successor(struct ticket_fleet *fleet, const struct loom_ticket *ticket,
    const struct ticket_fleet_node *source)
{
	struct loom_ticket_begin out;
	size_t i;

	for (i = 0; i < FLEET_NODES; i++) {
		if (&fleet->nodes[i] == source ||
		    fleet->nodes[i].tickets == NULL)
			continue;
		out = begin(&fleet->nodes[i], ticket);
		if (out.code == LOOM_TICKET_MOVED)
			return &fleet->nodes[out.successor_host_id - 1];
		if (out.code != LOOM_TICKET_LOST)
			return &fleet->nodes[i];
	}
	return NULL;
}

/*
 * A host is replaced in a rollout while callers hold its tickets.  The
 * successor must answer orders that ran as before and run unused tickets, and
 * any other host must name the successor.
 */
static void
test_handover(void)
{
	struct loom_ticket ran, cut, unused, spent;
	struct loom_ticket_begin out;
	struct ticket_fleet_node *source, *successor;
	struct ticket_fleet fleet;

	ticket_fleet_init(&fleet, 3);
	source = &fleet.nodes[0];
	ran = ticket_fleet_ticket(source);
	cut = ticket_fleet_ticket(source);
	unused = ticket_fleet_ticket(source);
	spent = ticket_fleet_ticket(source);
	finish(source, begin(source, &ran).run, 202);
	loom_tickets_finish(source->tickets, begin(source, &cut).run,
	    LOOM_OUTCOME_UNKNOWN, LOOM_UPSTREAM_CUT, NULL);
	loom_tickets_abandon(
	    source->tickets, begin(source, &spent).run, LOOM_OVERLOAD);
	ticket_fleet_drain(source);
	CU_ASSERT_EQUAL(begin(source, &unused).code, LOOM_TICKET_MOVING);
	CU_ASSERT_TRUE_FATAL(ticket_fleet_run_until_drained(&fleet, source));
	out = begin(source, &unused);
	CU_ASSERT_EQUAL_FATAL(out.code, LOOM_TICKET_MOVED);
	successor = &fleet.nodes[out.successor_host_id - 1];
	ticket_fleet_kill(source);
	ticket_fleet_step(&fleet);
	ticket_fleet_step(&fleet);
	CU_ASSERT_PTR_EQUAL(find_successor(&fleet, &spent, source), successor);
	out = begin(successor, &ran);
	CU_ASSERT_EQUAL_FATAL(out.verdict, LOOM_TICKET_VERDICT_ANSWER);
	CU_ASSERT_EQUAL(out.answer->status, 202);
	loom_answer_release(out.answer);
	CU_ASSERT_EQUAL(begin(successor, &cut).code, LOOM_TICKET_UNKNOWN);
	CU_ASSERT_EQUAL(begin(successor, &spent).code, LOOM_TICKET_SPENT);
	CU_ASSERT_EQUAL(
	    begin(successor, &unused).verdict, LOOM_TICKET_VERDICT_RUN);
	ticket_fleet_clear(&fleet);
}

/*
 * A host is replaced in place, under the same name.  Callers still send it
 * tickets of its previous incarnation, whose successor is alive.  It must name
 * the successor within 100 ms and not report the tickets as lost.
 */
static void
test_replaced_in_place(void)
{
	struct loom_ticket ticket;
	struct loom_ticket_begin out;
	struct ticket_fleet_node *source;
	struct ticket_fleet fleet;
	unsigned i;

	ticket_fleet_init(&fleet, 3);
	source = &fleet.nodes[0];
	ticket = ticket_fleet_ticket(source);
	ticket_fleet_drain(source);
	CU_ASSERT_TRUE_FATAL(ticket_fleet_run_until_drained(&fleet, source));
	ticket_fleet_kill(source);
	for (i = 0; i < 50; i++)
		ticket_fleet_step(&fleet);
	ticket_fleet_start(source);
	for (i = 0; i < 10; i++)
		ticket_fleet_step(&fleet);
	out = begin(source, &ticket);
	CU_ASSERT_EQUAL_FATAL(out.code, LOOM_TICKET_MOVED);
	out = begin(&fleet.nodes[out.successor_host_id - 1], &ticket);
	CU_ASSERT_EQUAL(out.verdict, LOOM_TICKET_VERDICT_RUN);
	ticket_fleet_clear(&fleet);
}

/*
 * A rolling replacement: the successor shuts down as well and hands over what
 * it inherited.  After an hour the tickets are forgotten and never run.
 */
static void
test_successive_handovers(void)
{
	struct loom_ticket ticket, late;
	struct loom_ticket_begin out;
	struct ticket_fleet_node *node, *next;
	struct ticket_fleet fleet;
	size_t i;

	ticket_fleet_init(&fleet, 3);
	node = &fleet.nodes[0];
	ticket = ticket_fleet_ticket(node);
	late = ticket_fleet_ticket(node);
	for (i = 0; i < 3; i++) {
		ticket_fleet_drain(node);
		CU_ASSERT_TRUE_FATAL(
		    ticket_fleet_run_until_drained(&fleet, node));
		out = begin(node, &ticket);
		CU_ASSERT_EQUAL_FATAL(out.code, LOOM_TICKET_MOVED);
		next = &fleet.nodes[out.successor_host_id - 1];
		ticket_fleet_kill(node);
		ticket_fleet_start(node);
		node = next;
	}
	CU_ASSERT_EQUAL(begin(node, &ticket).verdict, LOOM_TICKET_VERDICT_RUN);
	fleet.now_us += 3601 * LOOM_US_PER_S;
	loom_tickets_ops.tick(node->tickets, fleet.now_us);
	CU_ASSERT_EQUAL(begin(node, &late).code, LOOM_TICKET_LOST);
	ticket_fleet_clear(&fleet);
}

/* Drops all messages of the type in fleet->arg. */
static bool
drop_type(struct ticket_fleet *fleet, const struct ticket_fleet_node *from,
    const struct ticket_fleet_node *to, uint8_t type)
{
	(void)from;
	(void)to;
	return type == *(const uint8_t *)fleet->arg;
}

/*
 * The successor installs the state and runs a ticket, but no acknowledgement
 * arrives.  The source must neither run the ticket nor hand it to a second
 * successor; it counts as handed over.
 */
static void
test_lost_acknowledgement(void)
{
	uint8_t lost = HANDOVER_ACK;
	struct loom_ticket_begin out;
	struct loom_ticket ticket;
	struct ticket_fleet_node *source;
	struct ticket_fleet fleet;
	unsigned i, runs = 0;

	ticket_fleet_init(&fleet, 4);
	fleet.drop = drop_type;
	fleet.arg = &lost;
	source = &fleet.nodes[0];
	ticket = ticket_fleet_ticket(source);
	ticket_fleet_drain(source);
	CU_ASSERT_TRUE_FATAL(ticket_fleet_run_until_drained(&fleet, source));
	for (i = 0; i < FLEET_NODES; i++) {
		out = begin(&fleet.nodes[i], &ticket);
		runs += out.verdict == LOOM_TICKET_VERDICT_RUN;
	}
	CU_ASSERT_EQUAL(runs, 1);
	CU_ASSERT_EQUAL(begin(source, &ticket).code, LOOM_TICKET_MOVED);
	ticket_fleet_clear(&fleet);
}

/*
 * The reply of the first candidate is slow, so the source asks a second one,
 * and both accept.  If both got the state, both would run the ticket.
 */
static void
test_two_accept(void)
{
	struct loom_ticket ticket;
	struct ticket_fleet fleet;
	unsigned i, runs;
	uint32_t seed;

	for (seed = 1; seed <= 20; seed++) {
		ticket_fleet_init(&fleet, seed);
		fleet.delay_us = 2 * LOOM_US_PER_S;
		ticket = ticket_fleet_ticket(&fleet.nodes[0]);
		ticket_fleet_drain(&fleet.nodes[0]);
		CU_ASSERT_TRUE_FATAL(
		    ticket_fleet_run_until_drained(&fleet, &fleet.nodes[0]));
		for (i = 0; i < 500; i++)
			ticket_fleet_step(&fleet);
		for (i = 0, runs = 0; i < FLEET_NODES; i++)
			runs += begin(&fleet.nodes[i], &ticket).verdict ==
			    LOOM_TICKET_VERDICT_RUN;
		TEST_CHECK(runs == 1, "seed %u: %u runs", seed, runs);
		ticket_fleet_clear(&fleet);
	}
}

static uint8_t watched_type;
static struct ticket_fleet_node *watched_from, *watched_to;

static bool
watch_type(struct ticket_fleet *fleet, const struct ticket_fleet_node *from,
    const struct ticket_fleet_node *to, uint8_t type)
{
	(void)fleet;
	if (type == watched_type && watched_to == NULL) {
		watched_from = &fleet->nodes[from->self.host_id - 1];
		watched_to = &fleet->nodes[to->self.host_id - 1];
	}
	return false;
}

/*
 * The successor installs the state, runs a ticket, and is killed before its
 * acknowledgement arrives.  It starts again, and chunks that the source resends
 * reach its new incarnation.  If that accepted them, the ticket would run
 * twice.
 */
static void
test_successor_restarts(void)
{
	struct loom_ticket ticket;
	struct ticket_fleet_node *source;
	struct ticket_fleet fleet;
	unsigned i, runs = 0;

	ticket_fleet_init(&fleet, 5);
	source = &fleet.nodes[0];
	ticket = ticket_fleet_ticket(source);
	watched_type = HANDOVER_ACK;
	watched_to = NULL;
	fleet.drop = watch_type;
	ticket_fleet_drain(source);
	while (watched_to == NULL)
		ticket_fleet_step(&fleet);
	runs += begin(watched_from, &ticket).verdict == LOOM_TICKET_VERDICT_RUN;
	/* The acknowledgement is lost with its sender's connection. */
	for (i = 0; i < fleet.messages->len; i++)
		g_array_set_size(fleet.messages, 0);
	ticket_fleet_kill(watched_from);
	ticket_fleet_start(watched_from);
	CU_ASSERT_TRUE_FATAL(ticket_fleet_run_until_drained(&fleet, source));
	for (i = 0; i < FLEET_NODES; i++)
		runs += begin(&fleet.nodes[i], &ticket).verdict ==
		    LOOM_TICKET_VERDICT_RUN;
	CU_ASSERT_EQUAL(runs, 1);
	ticket_fleet_clear(&fleet);
}

/*
 * Copies of the chunks arrive late: after the successor has run the ticket, and
 * again after it has forgotten the source.  If they were installed again, the
 * ticket would be unused again.
 */
static void
test_late_chunks(void)
{
	struct loom_ticket ticket;
	struct loom_ticket_begin out;
	struct ticket_fleet_node *source, *successor;
	struct ticket_fleet fleet;
	unsigned i;

	ticket_fleet_init(&fleet, 6);
	fleet.duplication = 0.9;
	fleet.delay_us = 3 * LOOM_US_PER_S;
	source = &fleet.nodes[0];
	ticket = ticket_fleet_ticket(source);
	ticket_fleet_drain(source);
	CU_ASSERT_TRUE_FATAL(ticket_fleet_run_until_drained(&fleet, source));
	out = begin(source, &ticket);
	CU_ASSERT_EQUAL_FATAL(out.code, LOOM_TICKET_MOVED);
	successor = &fleet.nodes[out.successor_host_id - 1];
	finish(successor, begin(successor, &ticket).run, 200);
	for (i = 0; i < 50; i++)
		ticket_fleet_step(&fleet);
	out = begin(successor, &ticket);
	CU_ASSERT_EQUAL(out.verdict, LOOM_TICKET_VERDICT_ANSWER);
	loom_answer_release(out.answer);
	CU_ASSERT_TRUE(fleet.messages->len > 0);
	fleet.now_us += 3601 * LOOM_US_PER_S;
	loom_tickets_ops.tick(successor->tickets, fleet.now_us);
	CU_ASSERT_EQUAL(begin(successor, &ticket).code, LOOM_TICKET_LOST);
	ticket_fleet_step(&fleet);
	CU_ASSERT_EQUAL(begin(successor, &ticket).code, LOOM_TICKET_LOST);
	ticket_fleet_clear(&fleet);
}

/*
 * No host accepts the handover.  The source must still finish, and must not
 * name a successor.
 */
static void
test_no_successor(void)
{
	uint8_t lost = HANDOVER_OFFER;
	struct loom_ticket ticket;
	struct ticket_fleet fleet;

	ticket_fleet_init(&fleet, 7);
	fleet.drop = drop_type;
	fleet.arg = &lost;
	ticket = ticket_fleet_ticket(&fleet.nodes[0]);
	ticket_fleet_drain(&fleet.nodes[0]);
	CU_ASSERT_TRUE(ticket_fleet_run_until_drained(&fleet, &fleet.nodes[0]));
	CU_ASSERT_EQUAL(
	    begin(&fleet.nodes[0], &ticket).code, LOOM_TICKET_MOVING);
	ticket_fleet_clear(&fleet);
}

/* The ticket of a run that outlasts the wait is handed over as used. */
static void
test_run_outlasts_wait(void)
{
	struct loom_ticket ticket;
	struct loom_ticket_begin run;
	struct ticket_fleet_node *source, *successor;
	struct ticket_fleet fleet;
	uint64_t from_us;

	ticket_fleet_init(&fleet, 8);
	source = &fleet.nodes[0];
	ticket = ticket_fleet_ticket(source);
	run = begin(source, &ticket);
	from_us = fleet.now_us;
	ticket_fleet_drain(source);
	CU_ASSERT_TRUE_FATAL(ticket_fleet_run_until_drained(&fleet, source));
	CU_ASSERT_TRUE(fleet.now_us - from_us >= 10 * LOOM_US_PER_S);
	finish(source, run.run, 200);
	successor = find_successor(&fleet, &ticket, source);
	CU_ASSERT_PTR_NOT_NULL_FATAL(successor);
	CU_ASSERT_EQUAL(begin(successor, &ticket).code, LOOM_TICKET_UNKNOWN);
	ticket_fleet_clear(&fleet);
}

#define RACERS 4

struct racer {
	struct ticket_fleet_node *node;
	struct loom_ticket *tickets;
	unsigned n;
	unsigned runs;
	atomic_uint *ready; /* shared start barrier */
};

static gpointer
race(gpointer arg)
{
	struct racer *racer = arg;
	struct loom_ticket_begin out;
	unsigned i;

	atomic_fetch_add(racer->ready, 1);
	while (atomic_load(racer->ready) < RACERS)
		;
	for (i = 0; i < racer->n; i++) {
		out = begin(racer->node, &racer->tickets[i]);
		loom_answer_release(out.answer);
		if (out.verdict != LOOM_TICKET_VERDICT_RUN)
			continue;
		racer->runs++;
		finish(racer->node, out.run, 200);
	}
	return NULL;
}

/*
 * Several workers get copies of the same tickets at the same time; each ticket
 * must run once.
 */
static void
test_threads(void)
{
	struct loom_ticket tickets[2000];
	struct racer racers[RACERS];
	GThread *threads[RACERS];
	atomic_uint ready = 0;
	struct ticket_fleet fleet;
	unsigned i, runs = 0;

	ticket_fleet_init(&fleet, 9);
	for (i = 0; i < G_N_ELEMENTS(tickets); i++)
		tickets[i] = ticket_fleet_ticket(&fleet.nodes[0]);
	for (i = 0; i < G_N_ELEMENTS(racers); i++) {
		racers[i] = (struct racer){ &fleet.nodes[0], tickets,
			G_N_ELEMENTS(tickets), 0, &ready };
		threads[i] = g_thread_new("racer", race, &racers[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(racers); i++) {
		g_thread_join(threads[i]);
		runs += racers[i].runs;
	}
	CU_ASSERT_EQUAL(runs, G_N_ELEMENTS(tickets));
	ticket_fleet_clear(&fleet);
}

static const struct test_case tests[] = {
	{ "forged", test_forged },
	{ "mismatched request", test_mismatched_request },
	{ "waiters", test_waiters },
	{ "restart", test_restart },
	{ "handover", test_handover },
	{ "replaced in place", test_replaced_in_place },
	{ "successive handovers", test_successive_handovers },
	{ "lost acknowledgement", test_lost_acknowledgement },
	{ "two accept", test_two_accept },
	{ "successor restarts", test_successor_restarts },
	{ "late chunks", test_late_chunks },
	{ "no successor", test_no_successor },
	{ "run outlasts the wait", test_run_outlasts_wait },
	{ "threads", test_threads },
};

TEST_MAIN("tickets", tests)
