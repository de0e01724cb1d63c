/*
 * Retries of one request over its whole call chain, with a few daemons, a
 * message queue instead of a network, and calls that fail at the deepest hop.
 */

#include <string.h>

#include "decide/retry.h"
#include "loom/retry.h"
#include "support/test.h"

#define DAEMONS 4
#define FAN_OUT 3
#define DEPTH 3 /* hops below the entry */
#define LEAF_CALLS 27 /* FAN_OUT to the power of DEPTH */
#define SERVICE 7
#define DEADLINE_US UINT64_C(5000000)

struct node {
	struct chain *chain;
	struct loom_self self;
	struct loom_retry *retry; /* NULL when killed */
};

struct queued_message {
	unsigned from, to;
	uint64_t incarnation;
	uint8_t type;
	uint8_t payload[64];
	size_t len;
};

struct chain {
	struct node nodes[DAEMONS];
	struct loom_random random;
	GArray *queue; /* struct queued_message */
	double loss;
	bool duplicate; /* each message is delivered twice */
	uint64_t now_us;
	unsigned leaf_attempts;
	unsigned granted;
	bool answered;
	bool last_granted;
};

static void
post(void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct node *node = arg;
	struct chain *chain = node->chain;
	struct queued_message message = {
		.from = (unsigned)(node - chain->nodes),
		.to = (unsigned)host_id - 1,
		.incarnation = node->self.incarnation,
		.type = type,
		.len = len,
	};

	g_assert(len <= sizeof(message.payload));
	memcpy(message.payload, payload, len);
	if (loom_random_unit(&chain->random) < chain->loss)
		return;
	g_array_append_val(chain->queue, message);
	if (chain->duplicate)
		g_array_append_val(chain->queue, message);
}

static void
start_node(struct chain *chain, unsigned i, uint64_t incarnation)
{
	struct node *node = &chain->nodes[i];
	struct loom_sender sender = { .send = post, .arg = node };

	node->chain = chain;
	node->self.host_id = i + 1;
	node->self.incarnation = incarnation;
	node->retry = loom_retry_new(
	    NULL, &node->self, &sender, &chain->random, NULL, NULL);
}

static void
start_chain(struct chain *chain, uint32_t seed)
{
	unsigned i, k;

	memset(chain, 0, sizeof(*chain));
	chain->random = test_random_new(seed);
	chain->queue = g_array_new(FALSE, TRUE, sizeof(struct queued_message));
	chain->now_us = 1000000;
	for (i = 0; i < DAEMONS; i++) {
		start_node(chain, i, 100 + i);
		/* The service's retry credit is earned by first attempts. */
		for (k = 0; k < 200; k++)
			loom_retry_note_first_attempt(
			    chain->nodes[i].retry, SERVICE, chain->now_us);
	}
}

static void
end_chain(struct chain *chain)
{
	unsigned i;

	for (i = 0; i < DAEMONS; i++)
		talloc_free(chain->nodes[i].retry);
	g_array_free(chain->queue, TRUE);
	test_random_free(&chain->random);
}

/* Delivers all queued messages, advances the clock and runs the ticks. */
static void
step(struct chain *chain)
{
	struct queued_message message;
	struct loom_message_source from;
	struct node *to;
	unsigned i;

	chain->now_us += 1000;
	while (chain->queue->len > 0) {
		message = g_array_index(chain->queue, struct queued_message, 0);
		g_array_remove_index(chain->queue, 0);
		to = &chain->nodes[message.to];
		from = (struct loom_message_source){ message.from + 1,
			message.incarnation };
		if (to->retry != NULL)
			loom_retry_ops.message(to->retry, &from, message.type,
			    message.payload, message.len, chain->now_us);
	}
	for (i = 0; i < DAEMONS; i++) {
		if (chain->nodes[i].retry != NULL)
			loom_retry_ops.tick(
			    chain->nodes[i].retry, chain->now_us);
	}
}

static void
answered(struct loom_retry_query *query, bool granted)
{
	struct chain *chain = query->arg;

	chain->answered = true;
	chain->last_granted = granted;
}

static bool
request_grant(
    struct chain *chain, unsigned node, const struct loom_retry_root *root)
{
	struct loom_retry_query query = { .done = answered, .arg = chain };

	chain->answered = false;
	if (!loom_retry_query(
		chain->nodes[node].retry, root, SERVICE, chain->now_us, &query))
		return false;
	while (!chain->answered)
		step(chain);
	chain->granted += chain->last_granted;
	return chain->last_granted;
}

/*
 * Simulates a call that fails, with the retries that the hop above it makes.
 * The upstream of the deepest hop breaks each connection; every other call
 * fails because one of the calls that it made failed. Returns whether the
 * failure is final.
 */
static bool
run_failing_call(
    struct chain *chain, unsigned depth, const struct loom_retry_root *root)
{
	struct loom_retry_failure failure = {
		.code = LOOM_UPSTREAM_CUT,
		.repeatable = true,
		.body_available = true,
		.remaining_us = DEADLINE_US,
	};
	unsigned i, node = depth % DAEMONS;
	bool final = false;

	if (depth == DEPTH) {
		chain->leaf_attempts++;
		return false;
	}
	for (i = 0; i < FAN_OUT; i++) {
		failure.final = run_failing_call(chain, depth + 1, root);
		while (loom_retry_decide(&failure, &final) ==
			LOOM_RETRY_NEEDS_GRANT &&
		    request_grant(chain, node, root))
			failure.final =
			    run_failing_call(chain, depth + 1, root);
	}
	return final;
}

/*
 * Guards against retries that multiply along the chain. All of the 27 calls at
 * the deepest hop fail. With two attempts at each hop the deepest service would
 * get 216 calls. With a budget of two at the home it gets at most 29, even if
 * messages are lost or duplicated, and 27 if the home was killed or restarted.
 */
static void
test_budget_over_chain(void)
{
	static const struct {
		const char *name;
		double loss;
		bool duplicate;
		bool home_killed;
		bool home_restarted;
		unsigned min_attempts, max_attempts;
	} cases[] = {
		{ .name = "no faults", .min_attempts = 29, .max_attempts = 29 },
		{ .name = "half of the messages lost",
		    .loss = 0.5,
		    .min_attempts = 27,
		    .max_attempts = 29 },
		{ .name = "most messages lost",
		    .loss = 0.9,
		    .min_attempts = 27,
		    .max_attempts = 29 },
		{ .name = "all messages lost",
		    .loss = 1,
		    .min_attempts = 27,
		    .max_attempts = 27 },
		{ .name = "messages duplicated",
		    .duplicate = true,
		    .min_attempts = 28,
		    .max_attempts = 29 },
		{ .name = "home killed",
		    .home_killed = true,
		    .min_attempts = 27,
		    .max_attempts = 27 },
		{ .name = "home restarted",
		    .home_killed = true,
		    .home_restarted = true,
		    .min_attempts = 27,
		    .max_attempts = 27 },
	};
	struct loom_retry_root root;
	struct chain chain;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		start_chain(&chain, (uint32_t)i);
		chain.loss = cases[i].loss;
		chain.duplicate = cases[i].duplicate;
		CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, 0,
		    chain.now_us, chain.now_us + DEADLINE_US, &root));
		if (cases[i].home_killed) {
			talloc_free(chain.nodes[3].retry);
			chain.nodes[3].retry = NULL;
		}
		if (cases[i].home_restarted)
			start_node(&chain, 3, 999);
		run_failing_call(&chain, 0, &root);
		TEST_CHECK(chain.leaf_attempts >= cases[i].min_attempts &&
			chain.leaf_attempts <= cases[i].max_attempts,
		    "%s: %u attempts", cases[i].name, chain.leaf_attempts);
		end_chain(&chain);
	}
}

/*
 * A caller repeats a failing request 50 times with the same request id. Each
 * attempt counts against the rate of its team, but all of them share one
 * budget: two retries in total instead of a hundred.
 */
static void
test_same_request_id(void)
{
	struct loom_retry_root root, first;
	struct chain chain;
	uint64_t key, other;
	unsigned i;

	start_chain(&chain, 1);
	key = loom_retry_request_key(11, "order-1");
	other = loom_retry_request_key(12, "order-1");
	TEST_CHECK(key != other, "two teams share a request key");
	for (i = 0; i < 50; i++) {
		CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, key,
		    chain.now_us, chain.now_us + DEADLINE_US, &root));
		if (i == 0)
			first = root;
		CU_ASSERT_EQUAL(root.id, first.id);
		run_failing_call(&chain, 0, &root);
	}
	TEST_CHECK(chain.leaf_attempts == 50 * LEAF_CALLS + 2, "%u attempts",
	    chain.leaf_attempts);
	CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, other,
	    chain.now_us, chain.now_us + DEADLINE_US, &root));
	CU_ASSERT_NOT_EQUAL(root.id, first.id);
	end_chain(&chain);
}

/*
 * The budget expires at the deadline, also for a query that is still on its
 * way.
 */
static void
test_deadline(void)
{
	struct loom_retry_root root;
	struct chain chain;

	start_chain(&chain, 2);
	/* the next sweep, which would remove the root, is a second away */
	step(&chain);
	CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, 0,
	    chain.now_us, chain.now_us + 10000, &root));
	chain.now_us += 10000;
	CU_ASSERT_FALSE(request_grant(&chain, 0, &root));
	end_chain(&chain);
}

/*
 * A flood of requests must not exhaust the daemon's memory. Beyond its limit a
 * home lets requests run without a budget, and it accepts new ones again when
 * the deadlines of old ones have passed.
 */
static void
test_root_limit(void)
{
	struct loom_retry_root root;
	struct chain chain;
	unsigned i, refused = 0;

	start_chain(&chain, 3);
	for (i = 0; i < 400000; i++)
		refused += !loom_retry_begin_root(chain.nodes[0].retry, 0,
		    chain.now_us, chain.now_us + 10000, &root);
	TEST_CHECK(refused >= 400000 - 262144, "%u", refused);
	CU_ASSERT_EQUAL(root.home_host_id, 0);
	CU_ASSERT_FALSE(request_grant(&chain, 1, &root));
	chain.now_us += 2000000;
	step(&chain);
	CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[0].retry, 0,
	    chain.now_us, chain.now_us + 10000, &root));
	end_chain(&chain);
}

/*
 * A service fails for all its callers at once: 1,000 calls per second, each
 * with a budget of its own. Without the ratio its load would triple. With it, a
 * daemon adds a tenth of the load, one retry per second, and an initial burst
 * of ten.
 */
static void
test_retry_ratio(void)
{
	struct loom_retry_credit credit = { .credit = 1 };
	unsigned second, call, retries = 0;
	uint64_t now_us = 0;

	for (second = 0; second < 10; second++) {
		for (call = 0; call < 1000; call++) {
			now_us += 1000;
			loom_retry_credit_earn(&credit, 0.1, now_us);
			retries += loom_retry_credit_spend(&credit, now_us);
			retries += loom_retry_credit_spend(&credit, now_us);
		}
	}
	TEST_CHECK(retries <= 1000 + 10 + 10 && retries >= 990, "%u", retries);
}

static void
test_retryable_failures(void)
{
	static const struct {
		const char *name;
		struct loom_retry_failure failure;
		enum loom_retry_verdict verdict;
	} cases[] = {
		{ "cut",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100,
			.expected_us = 10 },
		    LOOM_RETRY_NEEDS_GRANT },
		{ "peer cut",
		    { .code = LOOM_PEER_CUT,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NEEDS_GRANT },
		{ "leaving",
		    { .code = LOOM_DRAINING,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NEEDS_GRANT },
		{ "not idempotent",
		    { .code = LOOM_UPSTREAM_CUT,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "final",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.final = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "overload",
		    { .code = LOOM_OVERLOAD,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "team over its rate",
		    { .code = LOOM_TEAM_RATE,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "deadline",
		    { .code = LOOM_DEADLINE,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "quarantined",
		    { .code = LOOM_QUARANTINED,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "body not kept",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "answer started",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.body_available = true,
			.answer_started = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "no time left",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.body_available = true,
			.remaining_us = 10,
			.expected_us = 10 },
		    LOOM_RETRY_NO },
	};
	bool final;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		final = false;
		TEST_CHECK(loom_retry_decide(&cases[i].failure, &final) ==
			cases[i].verdict,
		    "%s", cases[i].name);
		TEST_CHECK(final, "%s", cases[i].name);
	}
}

static const struct test_case tests[] = {
	{ "budget over the chain", test_budget_over_chain },
	{ "same request id sent again", test_same_request_id },
	{ "deadline", test_deadline },
	{ "root limit", test_root_limit },
	{ "retry ratio", test_retry_ratio },
	{ "retryable failures", test_retryable_failures },
};

TEST_MAIN("retry", tests)
