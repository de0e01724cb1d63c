/*
 * Random schedules over a fleet of executors: callers that send again at any
 * time and through any host, daemons that pause, are killed and are replaced,
 * messages that are lost, delayed, repeated and reordered.
 */

#include <stdio.h>
#include <string.h>

#include "support/ticket_fleet.h"

#define SECOND LOOM_US_PER_S
#define PLAY_US (120 * SECOND)
#define HOPS_MAX 3
/* The callers of the latest orders send copies. */
#define ORDERS_AT_ONCE 200

/* One ticket of an order; it lives as long as the play. */
struct held {
	struct play *play;
	struct loom_ticket ticket;
	unsigned order;
	unsigned runs; /* by the upstreams' own count */
	bool told_not_run;
};

struct order {
	struct held *held; /* the ticket that is tried now; NULL to take one */
	unsigned runs;
	bool done; /* answered, or given up on as lost */
	bool answered;
};

/* A copy of a request on its way to a node. */
struct arrival {
	uint64_t due_us;
	size_t node;
	unsigned hops;
	struct held *held;
};

struct run {
	size_t node;
	struct loom_ticket_run *run;
	struct held *held;
	uint64_t ends_us;
};

struct play {
	struct ticket_fleet fleet;
	uint64_t wake_us[FLEET_NODES]; /* of a paused or ended node */
	bool draining[FLEET_NODES];
	GPtrArray *tickets; /* struct held, owned */
	GArray *orders;
	GArray *arrivals;
	GArray *runs;
	unsigned handovers;
	unsigned kills;
	bool broken;
};

static bool
chance(struct play *play, double probability)
{
	return loom_random_unit(&play->fleet.random) < probability;
}

static struct order *
order_of(struct play *play, const struct held *held)
{
	return &g_array_index(play->orders, struct order, held->order);
}

/* The invariants; called whenever one of their terms has changed. */
static void
check(const struct held *held)
{
	struct play *play = held->play;

	if (held->runs > 1 || order_of(play, held)->runs > 1)
		play->broken = true;
	if (held->told_not_run && held->runs != 0)
		play->broken = true;
}

static void
tell(struct held *held, enum loom_result code, enum loom_outcome outcome)
{
	struct order *order = order_of(held->play, held);

	if (outcome == LOOM_OUTCOME_NOT_RUN) {
		held->told_not_run = true;
		check(held);
		if (order->held == held)
			order->held = NULL;
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
	tell(arg, code, outcome);
}

static void
start_run(struct play *play, size_t node, struct loom_ticket_run *run,
    struct held *held)
{
	struct run item = {
		.node = node,
		.run = run,
		.held = held,
		.ends_us = play->fleet.now_us +
		    loom_random_below(&play->fleet.random, SECOND),
	};

	if (chance(play, 0.1)) {
		loom_tickets_abandon(
		    play->fleet.nodes[node].tickets, run, LOOM_OVERLOAD);
		/* The refusal itself may be lost on its way. */
		if (chance(play, 0.7))
			tell(held, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN);
		return;
	}
	held->runs++;
	order_of(play, held)->runs++;
	check(held);
	g_array_append_val(play->runs, item);
}

static void
arrive(struct play *play, const struct arrival *arrival)
{
	const struct loom_ticket_waiter waiter = { waiter_done, arrival->held };
	struct ticket_fleet_node *node = &play->fleet.nodes[arrival->node];
	struct arrival next = *arrival;
	struct loom_ticket_begin begin;

	if (node->tickets == NULL)
		return;
	begin = ticket_fleet_begin(node, &arrival->held->ticket, &waiter);
	if (begin.verdict == LOOM_TICKET_VERDICT_RUN)
		start_run(play, arrival->node, begin.run, arrival->held);
	if (begin.verdict == LOOM_TICKET_VERDICT_ANSWER) {
		loom_answer_release(begin.answer);
		tell(arrival->held, LOOM_OK, LOOM_OUTCOME_RAN);
	}
	if (begin.verdict != LOOM_TICKET_VERDICT_REFUSED)
		return;
	if (begin.code != LOOM_TICKET_MOVED) {
		tell(arrival->held, begin.code, begin.outcome);
	} else if (arrival->hops < HOPS_MAX) {
		next.hops++;
		next.node = begin.heir_host_id - 1;
		g_array_append_val(play->arrivals, next);
	}
}

static void
arrive_due(struct play *play)
{
	struct arrival arrival;
	guint i = 0;

	while (i < play->arrivals->len) {
		arrival = g_array_index(play->arrivals, struct arrival, i);
		if (arrival.due_us > play->fleet.now_us ||
		    play->fleet.nodes[arrival.node].paused) {
			i++;
			continue;
		}
		g_array_remove_index_fast(play->arrivals, i);
		arrive(play, &arrival);
	}
}

static void
finish_runs(struct play *play)
{
	struct ticket_fleet_node *node;
	struct loom_answer *answer;
	struct run run;
	guint i = 0;

	while (i < play->runs->len) {
		run = g_array_index(play->runs, struct run, i);
		node = &play->fleet.nodes[run.node];
		if (run.ends_us > play->fleet.now_us || node->paused) {
			i++;
			continue;
		}
		g_array_remove_index_fast(play->runs, i);
		answer = loom_answer_new(200, "", 0, "ok", 2);
		if (chance(play, 0.9))
			loom_tickets_finish(node->tickets, run.run,
			    LOOM_OUTCOME_RAN, LOOM_OK, answer);
		else
			loom_tickets_finish(node->tickets, run.run,
			    LOOM_OUTCOME_UNKNOWN, LOOM_UPSTREAM_CUT, NULL);
		loom_answer_release(answer);
	}
}

static void
take_ticket(struct play *play, unsigned index)
{
	size_t at = loom_random_below(&play->fleet.random, FLEET_NODES);
	struct ticket_fleet_node *node = &play->fleet.nodes[at];
	struct held *held;

	if (node->tickets == NULL || node->paused || play->draining[at])
		return;
	held = g_new0(struct held, 1);
	held->play = play;
	held->ticket = ticket_fleet_ticket(node);
	held->order = index;
	g_ptr_array_add(play->tickets, held);
	g_array_index(play->orders, struct order, index).held = held;
}

static void
send_copy(struct play *play, struct held *held)
{
	uint64_t delay_us = chance(play, 0.1) ? 20 * SECOND : SECOND / 10;
	struct arrival arrival = {
		.due_us = play->fleet.now_us +
		    loom_random_below(&play->fleet.random, delay_us),
		.node = held->ticket.host_id - 1,
		.held = held,
	};

	/* A daemon whose list is wrong, or that looks for an heir. */
	if (chance(play, 0.4))
		arrival.node =
		    loom_random_below(&play->fleet.random, FLEET_NODES);
	g_array_append_val(play->arrivals, arrival);
}

static void
callers(struct play *play)
{
	struct order fresh = { 0 };
	struct order *order;
	unsigned i;

	if (chance(play, 0.1))
		g_array_append_val(play->orders, fresh);
	i = play->orders->len > ORDERS_AT_ONCE
	    ? play->orders->len - ORDERS_AT_ONCE
	    : 0;
	for (; i < play->orders->len; i++) {
		order = &g_array_index(play->orders, struct order, i);
		/* Also after the answer: a copy that nobody waits for. */
		if (chance(play, order->done ? 0.0005 : 0.03)) {
			if (order->held == NULL && !order->done)
				take_ticket(play, i);
			else if (order->held != NULL)
				send_copy(play, order->held);
		}
	}
}

static void
drop_runs(struct play *play, size_t node)
{
	guint i = 0;

	while (i < play->runs->len) {
		if (g_array_index(play->runs, struct run, i).node == node)
			g_array_remove_index_fast(play->runs, i);
		else
			i++;
	}
}

static void
end_node(struct play *play, size_t at)
{
	drop_runs(play, at);
	ticket_fleet_kill(&play->fleet.nodes[at]);
	play->draining[at] = false;
	play->wake_us[at] = play->fleet.now_us + SECOND;
}

static void
disturb(struct play *play, size_t at)
{
	struct ticket_fleet_node *node = &play->fleet.nodes[at];
	uint64_t now_us = play->fleet.now_us;

	if (node->tickets == NULL) {
		if (now_us >= play->wake_us[at])
			ticket_fleet_start(node);
	} else if (node->paused) {
		node->paused = now_us < play->wake_us[at];
	} else if (play->draining[at] && loom_tickets_drained(node->tickets)) {
		play->handovers++;
		end_node(play, at);
	} else if (chance(play, 0.001)) {
		node->paused = true;
		play->wake_us[at] = now_us +
		    loom_random_below(&play->fleet.random, 20 * SECOND);
	} else if (chance(play, 0.0005)) {
		play->kills++;
		end_node(play, at);
	} else if (!play->draining[at] && chance(play, 0.001)) {
		play->draining[at] = true;
		ticket_fleet_drain(node);
	}
}

static bool
play_run(struct play *play, uint32_t seed)
{
	size_t i;

	memset(play, 0, sizeof(*play));
	ticket_fleet_init(&play->fleet, seed);
	play->fleet.loss = 0.1;
	play->fleet.duplication = 0.2;
	play->fleet.delay_us = SECOND / 2;
	play->tickets = g_ptr_array_new_with_free_func(g_free);
	play->orders = g_array_new(FALSE, TRUE, sizeof(struct order));
	play->arrivals = g_array_new(FALSE, TRUE, sizeof(struct arrival));
	play->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
	while (play->fleet.now_us < PLAY_US && !play->broken) {
		ticket_fleet_step(&play->fleet);
		arrive_due(play);
		finish_runs(play);
		callers(play);
		for (i = 0; i < FLEET_NODES; i++)
			disturb(play, i);
	}
	return !play->broken;
}

static unsigned
count_answered(const struct play *play)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < play->orders->len; i++)
		n += g_array_index(play->orders, struct order, i).answered;
	return n;
}

static void
play_clear(struct play *play)
{
	ticket_fleet_clear(&play->fleet);
	g_ptr_array_free(play->tickets, TRUE);
	g_array_free(play->orders, TRUE);
	g_array_free(play->arrivals, TRUE);
	g_array_free(play->runs, TRUE);
}

/*
 * Callers order, get no answer in time, and order again with the same ticket
 * through any host, while hosts pause, die and are replaced.  After each step
 * no order has run twice, and none that was called not-run has run at all,
 * or ever does.
 */
static void
test_schedules(void)
{
	unsigned orders = 0, answered = 0, handovers = 0, kills = 0;
	struct play play;
	uint32_t seed;
	bool held;

	for (seed = 1; seed <= 40; seed++) {
		held = play_run(&play, seed);
		TEST_CHECK(held, "seed %u, at %u ms", seed,
		    (unsigned)(play.fleet.now_us / LOOM_US_PER_MS));
		orders += play.orders->len;
		answered += count_answered(&play);
		handovers += play.handovers;
		kills += play.kills;
		play_clear(&play);
	}
	printf("\npoint tickets: %u orders, %u answered, %u hand-overs, %u "
	       "kills\n",
	    orders, answered, handovers, kills);
	/* Not by refusing everything. */
	TEST_CHECK(answered > orders / 2, "%u of %u", answered, orders);
}

static const struct test_case tests[] = {
	{ "schedules", test_schedules },
};

TEST_MAIN("schedules", tests)
