/*
 * Retries of one request over the whole chain: few daemons, a list of
 * messages in place of a network, and calls that fail at the deepest hop.
 */

#include <string.h>

#include "decide/retry.h"
#include "loom/retry.h"
#include "support/test.h"

#define DAEMONS 4
#define FAN_OUT 3
#define DEPTH 3 /* hops below the entry */
#define LEAVES 27 /* FAN_OUT to the power of DEPTH */
#define SERVICE 7
#define DEADLINE_US UINT64_C(5000000)

struct node {
	struct chain *chain;
	struct loom_self self;
	struct loom_retry *retry; /* NULL when killed */
};

struct letter {
	unsigned from, to;
	uint64_t incarnation;
	uint8_t type;
	uint8_t payload[64];
	size_t len;
};

struct chain {
	struct node nodes[DAEMONS];
	struct loom_random random;
	GArray *letters; /* of struct letter */
	double loss;
	bool repeated; /* each message comes twice */
	uint64_t now_us;
	unsigned leaf_attempts;
	unsigned granted;
	bool answered;
	bool last_grant;
};

static void
post(void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct node *node = arg;
	struct chain *chain = node->chain;
	struct letter letter = {
		.from = (unsigned)(node - chain->nodes),
		.to = (unsigned)host_id - 1,
		.incarnation = node->self.incarnation,
		.type = type,
		.len = len,
	};

	g_assert(len <= sizeof(letter.payload));
	memcpy(letter.payload, payload, len);
	if (loom_random_unit(&chain->random) < chain->loss)
		return;
	g_array_append_val(chain->letters, letter);
	if (chain->repeated)
		g_array_append_val(chain->letters, letter);
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
	chain->letters = g_array_new(FALSE, TRUE, sizeof(struct letter));
	chain->now_us = 1000000;
	for (i = 0; i < DAEMONS; i++) {
		start_node(chain, i, 100 + i);
		/* traffic earns the service's credit */
		for (k = 0; k < 200; k++)
			loom_retry_first_attempt(
			    chain->nodes[i].retry, SERVICE, chain->now_us);
	}
}

static void
end_chain(struct chain *chain)
{
	unsigned i;

	for (i = 0; i < DAEMONS; i++)
		talloc_free(chain->nodes[i].retry);
	g_array_free(chain->letters, TRUE);
	test_random_free(&chain->random);
}

/* Deliver what is on its way, let time pass, tick. */
static void
step(struct chain *chain)
{
	struct letter letter;
	struct loom_from from;
	struct node *to;
	unsigned i;

	chain->now_us += 1000;
	while (chain->letters->len > 0) {
		letter = g_array_index(chain->letters, struct letter, 0);
		g_array_remove_index(chain->letters, 0);
		to = &chain->nodes[letter.to];
		from =
		    (struct loom_from){ letter.from + 1, letter.incarnation };
		if (to->retry != NULL)
			loom_retry_ops.message(to->retry, &from, letter.type,
			    letter.payload, letter.len, chain->now_us);
	}
	for (i = 0; i < DAEMONS; i++) {
		if (chain->nodes[i].retry != NULL)
			loom_retry_ops.tick(
			    chain->nodes[i].retry, chain->now_us);
	}
}

static void
answered(struct loom_retry_ask *ask, bool granted)
{
	struct chain *chain = ask->arg;

	chain->answered = true;
	chain->last_grant = granted;
}

static bool
ask_home(struct chain *chain, unsigned node, const struct loom_retry_root *root)
{
	struct loom_retry_ask ask = { .done = answered, .arg = chain };

	chain->answered = false;
	if (!loom_retry_ask(
		chain->nodes[node].retry, root, SERVICE, chain->now_us, &ask))
		return false;
	while (!chain->answered)
		step(chain);
	chain->granted += chain->last_grant;
	return chain->last_grant;
}

/*
 * A call at a hop: its failure, after the hop above it did what it may.  The
 * deepest hop's upstream cuts each call; every other call fails because one
 * that it made did.  Returns whether the failure is final.
 */
static bool
call_fails(
    struct chain *chain, unsigned depth, const struct loom_retry_root *root)
{
	struct loom_retry_failure failure = {
		.code = LOOM_UPSTREAM_CUT,
		.repeatable = true,
		.body_kept = true,
		.remaining_us = DEADLINE_US,
	};
	unsigned i, node = depth % DAEMONS;
	bool final = false;

	if (depth == DEPTH) {
		chain->leaf_attempts++;
		return false;
	}
	for (i = 0; i < FAN_OUT; i++) {
		failure.final = call_fails(chain, depth + 1, root);
		while (
		    loom_retry_may(&failure, &final) == LOOM_RETRY_ASK_HOME &&
		    ask_home(chain, node, root))
			failure.final = call_fails(chain, depth + 1, root);
	}
	return final;
}

/*
 * Each of 27 calls at the deepest hop fails.  With two tries a hop callers
 * would see the deepest service hit 216 times; with the home's budget of two
 * it is hit 29 times, however messages are lost or repeated, and 27 times
 * when the home died or was started anew.
 */
static void
test_chain(void)
{
	static const struct {
		const char *name;
		double loss;
		bool repeated;
		bool home_killed;
		bool home_restarted;
		unsigned least, most;
	} cases[] = {
		{ .name = "all well", .least = 29, .most = 29 },
		{ .name = "half lost", .loss = 0.5, .least = 27, .most = 29 },
		{ .name = "most lost", .loss = 0.9, .least = 27, .most = 29 },
		{ .name = "all lost", .loss = 1, .least = 27, .most = 27 },
		{ .name = "repeated",
		    .repeated = true,
		    .least = 28,
		    .most = 29 },
		{ .name = "home killed",
		    .home_killed = true,
		    .least = 27,
		    .most = 27 },
		{ .name = "home restarted",
		    .home_killed = true,
		    .home_restarted = true,
		    .least = 27,
		    .most = 27 },
	};
	struct loom_retry_root root;
	struct chain chain;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		start_chain(&chain, (uint32_t)i);
		chain.loss = cases[i].loss;
		chain.repeated = cases[i].repeated;
		CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, 0,
		    chain.now_us, chain.now_us + DEADLINE_US, &root));
		if (cases[i].home_killed) {
			talloc_free(chain.nodes[3].retry);
			chain.nodes[3].retry = NULL;
		}
		if (cases[i].home_restarted)
			start_node(&chain, 3, 999);
		call_fails(&chain, 0, &root);
		TEST_CHECK(chain.leaf_attempts >= cases[i].least &&
			chain.leaf_attempts <= cases[i].most,
		    "%s: %u attempts", cases[i].name, chain.leaf_attempts);
		end_chain(&chain);
	}
}

/*
 * A caller whose request fails sends it again 50 times with the same request
 * id.  Each attempt is a call against its team's rate, but all of them share
 * one budget: two retries in all, not a hundred.
 */
static void
test_caller_sends_again(void)
{
	struct loom_retry_root root, first;
	struct chain chain;
	uint64_t key, other;
	unsigned i;

	start_chain(&chain, 1);
	key = loom_retry_request_key(11, "order-1");
	other = loom_retry_request_key(12, "order-1");
	TEST_CHECK(key != other, "two teams share a budget");
	for (i = 0; i < 50; i++) {
		CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, key,
		    chain.now_us, chain.now_us + DEADLINE_US, &root));
		if (i == 0)
			first = root;
		CU_ASSERT_EQUAL(root.id, first.id);
		call_fails(&chain, 0, &root);
	}
	TEST_CHECK(chain.leaf_attempts == 50 * LEAVES + 2, "%u attempts",
	    chain.leaf_attempts);
	CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, other,
	    chain.now_us, chain.now_us + DEADLINE_US, &root));
	CU_ASSERT_NOT_EQUAL(root.id, first.id);
	end_chain(&chain);
}

/* After the deadline the budget is gone, also for a question on its way. */
static void
test_deadline(void)
{
	struct loom_retry_root root;
	struct chain chain;

	start_chain(&chain, 2);
	/* the next sweep, which forgets the request, is a second away */
	step(&chain);
	CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[3].retry, 0,
	    chain.now_us, chain.now_us + 10000, &root));
	chain.now_us += 10000;
	CU_ASSERT_FALSE(ask_home(&chain, 0, &root));
	end_chain(&chain);
}

/* A flood of requests must not take the daemon's memory: beyond its bound a
 * home lets requests run without a budget, and takes new ones once old ones
 * have passed their deadline. */
static void
test_bounded(void)
{
	struct loom_retry_root root;
	struct chain chain;
	unsigned i, full = 0;

	start_chain(&chain, 3);
	for (i = 0; i < 400000; i++)
		full += !loom_retry_begin_root(chain.nodes[0].retry, 0,
		    chain.now_us, chain.now_us + 10000, &root);
	TEST_CHECK(full >= 400000 - 262144, "%u", full);
	CU_ASSERT_EQUAL(root.home_host_id, 0);
	CU_ASSERT_FALSE(ask_home(&chain, 1, &root));
	chain.now_us += 2000000;
	step(&chain);
	CU_ASSERT_TRUE(loom_retry_begin_root(chain.nodes[0].retry, 0,
	    chain.now_us, chain.now_us + 10000, &root));
	end_chain(&chain);
}

/*
 * A service fails for all its callers at once, 1,000 a second, each with a
 * budget of its own.  Without the ratio its load would treble; with it a
 * daemon adds a tenth, one retry a second, and a first burst of ten.
 */
static void
test_storm(void)
{
	struct loom_retry_credit credit = { .credit = 1 };
	unsigned second, call, retries = 0;
	uint64_t now_us = 0;

	for (second = 0; second < 10; second++) {
		for (call = 0; call < 1000; call++) {
			now_us += 1000;
			loom_retry_credit_first(&credit, 0.1, now_us);
			retries += loom_retry_credit_take(&credit, now_us);
			retries += loom_retry_credit_take(&credit, now_us);
		}
	}
	TEST_CHECK(retries <= 1000 + 10 + 10 && retries >= 990, "%u", retries);
}

static void
test_rule(void)
{
	static const struct {
		const char *name;
		struct loom_retry_failure failure;
		enum loom_retry_verdict verdict;
	} cases[] = {
		{ "cut",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100,
			.expected_us = 10 },
		    LOOM_RETRY_ASK_HOME },
		{ "peer cut",
		    { .code = LOOM_PEER_CUT,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_ASK_HOME },
		{ "leaving",
		    { .code = LOOM_DRAINING,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_ASK_HOME },
		{ "not idempotent",
		    { .code = LOOM_UPSTREAM_CUT,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "final",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.final = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "overload",
		    { .code = LOOM_OVERLOAD,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "over its rate",
		    { .code = LOOM_TEAM_RATE,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "deadline",
		    { .code = LOOM_DEADLINE,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "quarantined",
		    { .code = LOOM_QUARANTINED,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "body gone",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "answer begun",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.body_kept = true,
			.answer_begun = true,
			.remaining_us = 100 },
		    LOOM_RETRY_NO },
		{ "no time left",
		    { .code = LOOM_UPSTREAM_CUT,
			.repeatable = true,
			.body_kept = true,
			.remaining_us = 10,
			.expected_us = 10 },
		    LOOM_RETRY_NO },
	};
	bool final;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		final = false;
		TEST_CHECK(loom_retry_may(&cases[i].failure, &final) ==
			cases[i].verdict,
		    "%s", cases[i].name);
		TEST_CHECK(final, "%s", cases[i].name);
	}
}

static const struct test_case tests[] = {
	{ "chain", test_chain },
	{ "caller sends again", test_caller_sends_again },
	{ "deadline", test_deadline },
	{ "bounded", test_bounded },
	{ "storm", test_storm },
	{ "rule", test_rule },
};

TEST_MAIN("retry", tests)
