/*
 * Randomized schedules over a fleet of executors: callers that repeat requests
 * at any time and through any host; daemons that pause, are killed and are
 * replaced; messages that are lost, delayed, duplicated and reordered.
 */

#include <stdio.h>
#include <string.h>

#include "support/ticket_fleet.h"

#define SECOND LOOM_US_PER_S
#define SIMULATION_US (120 * SECOND)
#define HOPS_MAX 3
/* Copies of requests are sent for the latest orders only. */
#define ORDERS_AT_ONCE 200

/* One ticket of an order; lives as long as the simulation. */
struct order_ticket {
	struct simulation *sim;
	struct loom_ticket ticket;
	unsigned order;
	unsigned runs; /* as counted by the upstreams */
	bool reported_not_run;
};

struct order {
	/* the ticket in use; NULL to take a new one */
	struct order_ticket *order_ticket;
	unsigned runs;
	bool done; /* answered, or given up as lost */
	bool answered;
};

/* A copy of a request on its way to a node. */
struct request {
	uint64_t due_us;
	size_t node;
	unsigned hops;
	struct order_ticket *order_ticket;
};

struct run {
	size_t node;
	struct loom_ticket_run *run;
	struct order_ticket *order_ticket;
	uint64_t ends_us;
};

struct simulation {
	struct ticket_fleet fleet;
	/* when a paused or stopped node continues */
	uint64_t wake_us[FLEET_NODES];
	bool draining[FLEET_NODES];
	GPtrArray *tickets; /* struct order_ticket, owned */
	GArray *orders;
	GArray *requests;
	GArray *runs;
	unsigned handovers;
	unsigned kills;
	bool violated;
};

static bool
chance(struct simulation *sim, double probability)
{
	return loom_random_unit(&sim->fleet.random) < probability;
}

static struct order *
order_of(struct simulation *sim, const struct order_ticket *order_ticket)
{
	return &g_array_index(sim->orders, struct order, order_ticket->order);
}

/* Checks the invariants.  Called whenever a value in them changes. */
static void
check_invariants(const struct order_ticket *order_ticket)
{
	struct simulation *sim = order_ticket->sim;

	if (order_ticket->runs > 1 || order_of(sim, order_ticket)->runs > 1)
		sim->violated = true;
	if (order_ticket->reported_not_run && order_ticket->runs != 0)
		sim->violated = true;
}

static void
report_outcome(struct order_ticket *order_ticket, enum loom_result code,
    enum loom_outcome outcome)
{
	struct order *order = order_of(order_ticket->sim, order_ticket);

	if (outcome == LOOM_OUTCOME_NOT_RUN) {
		order_ticket->reported_not_run = true;
		check_invariants(order_ticket);
		if (order->order_ticket == order_ticket)
			order->order_ticket = NULL;
	} else if (outcome == LOOM_OUTCOME_RAN) {
		order->done = true;
		order->answered = true;
	} else if (code == LOOM_TICKET_UNKNOWN) {
		order->done = true;
	}
}

static void
waiter_done(void *arg, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
{
	(void)answer;
	report_outcome(arg, code, outcome);
}

static void
start_run(struct simulation *sim, size_t node, struct loom_ticket_run *run,
    struct order_ticket *order_ticket)
{
	struct run item = {
		.node = node,
		.run = run,
		.order_ticket = order_ticket,
		.ends_us = sim->fleet.now_us +
		    loom_random_below(&sim->fleet.random, SECOND),
	};

	if (chance(sim, 0.1)) {
		loom_tickets_abandon(
		    sim->fleet.nodes[node].tickets, run, LOOM_OVERLOAD);
		/* The refusal itself may be lost. */
		if (chance(sim, 0.7))
			report_outcome(
			    order_ticket, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN);
		return;
	}
	order_ticket->runs++;
	order_of(sim, order_ticket)->runs++;
	check_invariants(order_ticket);
	g_array_append_val(sim->runs, item);
}

static void
process_request(struct simulation *sim, const struct request *request)
{
	const struct loom_ticket_waiter waiter = { waiter_done,
		request->order_ticket };
	struct ticket_fleet_node *node = &sim->fleet.nodes[request->node];
	struct request next = *request;
	struct loom_ticket_begin begin;

	if (node->tickets == NULL)
		return;
	begin =
	    ticket_fleet_begin(node, &request->order_ticket->ticket, &waiter);
	if (begin.verdict == LOOM_TICKET_VERDICT_RUN)
		start_run(sim, request->node, begin.run, request->order_ticket);
	if (begin.verdict == LOOM_TICKET_VERDICT_ANSWER) {
		loom_answer_release(begin.answer);
		report_outcome(
		    request->order_ticket, LOOM_OK, LOOM_OUTCOME_RAN);
	}
	if (begin.verdict != LOOM_TICKET_VERDICT_REFUSED)
		return;
	if (begin.code != LOOM_TICKET_MOVED) {
		report_outcome(
		    request->order_ticket, begin.code, begin.outcome);
	} else if (request->hops < HOPS_MAX) {
		next.hops++;
		next.node = begin.successor_host_id - 1;
		g_array_append_val(sim->requests, next);
	}
}

static void
process_due_requests(struct simulation *sim)
{
	struct request request;
	guint i = 0;

	while (i < sim->requests->len) {
		request = g_array_index(sim->requests, struct request, i);
		if (request.due_us > sim->fleet.now_us ||
		    sim->fleet.nodes[request.node].paused) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->requests, i);
		process_request(sim, &request);
	}
}

static void
finish_runs(struct simulation *sim)
{
	struct ticket_fleet_node *node;
	struct loom_answer *answer;
	struct run run;
	guint i = 0;

	while (i < sim->runs->len) {
		run = g_array_index(sim->runs, struct run, i);
		node = &sim->fleet.nodes[run.node];
		if (run.ends_us > sim->fleet.now_us || node->paused) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->runs, i);
		answer = loom_answer_new(200, "", 0, "ok", 2);
		if (chance(sim, 0.9))
			loom_tickets_finish(node->tickets, run.run,
			    LOOM_OUTCOME_RAN, LOOM_OK, answer);
		else
			loom_tickets_finish(node->tickets, run.run,
			    LOOM_OUTCOME_UNKNOWN, LOOM_UPSTREAM_CUT, NULL);
		loom_answer_release(answer);
	}
}

static void
take_ticket(struct simulation *sim, unsigned index)
{
	size_t at = loom_random_below(&sim->fleet.random, FLEET_NODES);
	struct ticket_fleet_node *node = &sim->fleet.nodes[at];
	struct order_ticket *order_ticket;

	if (node->tickets == NULL || node->paused || sim->draining[at])
		return;
	order_ticket = g_new0(struct order_ticket, 1);
	order_ticket->sim = sim;
	order_ticket->ticket = ticket_fleet_ticket(node);
	order_ticket->order = index;
	g_ptr_array_add(sim->tickets, order_ticket);
	g_array_index(sim->orders, struct order, index).order_ticket =
	    order_ticket;
}

static void
send_copy(struct simulation *sim, struct order_ticket *order_ticket)
{
	uint64_t delay_us = chance(sim, 0.1) ? 20 * SECOND : SECOND / 10;
	struct request request = {
		.due_us = sim->fleet.now_us +
		    loom_random_below(&sim->fleet.random, delay_us),
		.node = order_ticket->ticket.host_id - 1,
		.order_ticket = order_ticket,
	};

	/*
	 * Sent by a daemon with an outdated host list, or one that looks for
	 * the successor.
	 */
	if (chance(sim, 0.4))
		request.node =
		    loom_random_below(&sim->fleet.random, FLEET_NODES);
	g_array_append_val(sim->requests, request);
}

static void
send_requests(struct simulation *sim)
{
	struct order fresh = { 0 };
	struct order *order;
	unsigned i;

	if (chance(sim, 0.1))
		g_array_append_val(sim->orders, fresh);
	i = sim->orders->len > ORDERS_AT_ONCE
	    ? sim->orders->len - ORDERS_AT_ONCE
	    : 0;
	for (; i < sim->orders->len; i++) {
		order = &g_array_index(sim->orders, struct order, i);
		/*
		 * After the answer, too: a delayed copy whose caller has left.
		 */
		if (chance(sim, order->done ? 0.0005 : 0.03)) {
			if (order->order_ticket == NULL && !order->done)
				take_ticket(sim, i);
			else if (order->order_ticket != NULL)
				send_copy(sim, order->order_ticket);
		}
	}
}

static void
drop_runs(struct simulation *sim, size_t node)
{
	guint i = 0;

	while (i < sim->runs->len) {
		if (g_array_index(sim->runs, struct run, i).node == node)
			g_array_remove_index_fast(sim->runs, i);
		else
			i++;
	}
}

static void
stop_node(struct simulation *sim, size_t at)
{
	drop_runs(sim, at);
	ticket_fleet_kill(&sim->fleet.nodes[at]);
	sim->draining[at] = false;
	sim->wake_us[at] = sim->fleet.now_us + SECOND;
}

static void
inject_faults(struct simulation *sim, size_t at)
{
	struct ticket_fleet_node *node = &sim->fleet.nodes[at];
	uint64_t now_us = sim->fleet.now_us;

	if (node->tickets == NULL) {
		if (now_us >= sim->wake_us[at])
			ticket_fleet_start(node);
	} else if (node->paused) {
		node->paused = now_us < sim->wake_us[at];
	} else if (sim->draining[at] && loom_tickets_drained(node->tickets)) {
		sim->handovers++;
		stop_node(sim, at);
	} else if (chance(sim, 0.001)) {
		node->paused = true;
		sim->wake_us[at] =
		    now_us + loom_random_below(&sim->fleet.random, 20 * SECOND);
	} else if (chance(sim, 0.0005)) {
		sim->kills++;
		stop_node(sim, at);
	} else if (!sim->draining[at] && chance(sim, 0.001)) {
		sim->draining[at] = true;
		ticket_fleet_drain(node);
	}
}

static bool
simulation_run(struct simulation *sim, uint32_t seed)
{
	size_t i;

	memset(sim, 0, sizeof(*sim));
	ticket_fleet_init(&sim->fleet, seed);
	sim->fleet.loss = 0.1;
	sim->fleet.duplication = 0.2;
	sim->fleet.delay_us = SECOND / 2;
	sim->tickets = g_ptr_array_new_with_free_func(g_free);
	sim->orders = g_array_new(FALSE, TRUE, sizeof(struct order));
	sim->requests = g_array_new(FALSE, TRUE, sizeof(struct request));
	sim->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
	while (sim->fleet.now_us < SIMULATION_US && !sim->violated) {
		ticket_fleet_step(&sim->fleet);
		process_due_requests(sim);
		finish_runs(sim);
		send_requests(sim);
		for (i = 0; i < FLEET_NODES; i++)
			inject_faults(sim, i);
	}
	return !sim->violated;
}

static unsigned
count_answered(const struct simulation *sim)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < sim->orders->len; i++)
		n += g_array_index(sim->orders, struct order, i).answered;
	return n;
}

static void
simulation_clear(struct simulation *sim)
{
	ticket_fleet_clear(&sim->fleet);
	g_ptr_array_free(sim->tickets, TRUE);
	g_array_free(sim->orders, TRUE);
	g_array_free(sim->requests, TRUE);
	g_array_free(sim->runs, TRUE);
}

/*
 * Callers send an order, get no answer in time, and repeat it with the same
 * ticket through any host, while hosts pause, die and are replaced.  After each
 * step, no order has run twice, and no ticket that was reported as not-run has
 * run or runs later.
 */
static void
test_schedules(void)
{
	unsigned orders = 0, answered = 0, handovers = 0, kills = 0;
	struct simulation sim;
	uint32_t seed;
	bool ok;

	for (seed = 1; seed <= 40; seed++) {
		ok = simulation_run(&sim, seed);
		TEST_CHECK(ok, "seed %u, at %u ms", seed,
		    (unsigned)(sim.fleet.now_us / LOOM_US_PER_MS));
		orders += sim.orders->len;
		answered += count_answered(&sim);
		handovers += sim.handovers;
		kills += sim.kills;
		simulation_clear(&sim);
	}
	printf("\npoint tickets: %u orders, %u answered, %u hand-overs, %u "
	       "kills\n",
	    orders, answered, handovers, kills);
	/* Refusing every order would also satisfy the invariants. */
	TEST_CHECK(answered > orders / 2, "%u of %u", answered, orders);
}

static const struct test_case tests[] = {
	{ "schedules", test_schedules },
};

TEST_MAIN("schedules", tests)
