/*
 * The rules of loans, tested on one daemon: whose clock ends a loan, how
 * repeated and reordered messages are handled, and when a lender may take a
 * share back.
 */

#include <string.h>
#include <talloc.h>

#include "decide/loan.h"
#include "inner/rights_codec.h"
#include "loom/rights.h"
#include "support/test.h"

#define MS UINT64_C(1000)
#define START_US UINT64_C(100000000)
#define TEAM "a"

struct fixture {
	struct loom_rights *rights;
	struct loom_random random;
	struct loom_self self;
	uint64_t other_id; /* id of the only other host */
	unsigned sent;
	struct loom_rights_up up; /* the last message that was sent */
	uint64_t seq; /* of the last response */
};

static void
record_sent(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct fixture *fixture = arg;

	(void)host_id;
	if (type == LOOM_RIGHTS_UP)
		loom_rights_up_unpack(&fixture->up, payload, len);
	fixture->sent++;
}

static void
load_manifest(struct fixture *fixture)
{
	static const char text[] =
	    "{ \"document\": \"d\", \"version\": 1,"
	    "\"fleet\": { \"slots\": 2 }, \"teams\": [ {"
	    "\"name\": \"a\", \"rate_per_s\": 50, \"burst\": 20 } ] }";
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	struct loom_manifest *manifest;

	document = loom_document_parse(text, strlen(text), "test", &problems);
	manifest = loom_manifest_build(&document, 1, 1, &problems);
	loom_rights_ops.manifest_changed(fixture->rights, manifest, START_US);
	loom_manifest_release(manifest);
	loom_document_release(document);
}

static void
list_hosts(struct fixture *fixture)
{
	struct loom_host host = { .service = "s",
		.region = "r",
		.data_centre = "dc",
		.service_id = 1 };
	GArray *list = g_array_new(FALSE, TRUE, sizeof(host));
	struct loom_hosts *hosts;

	host.id = fixture->self.host_id;
	g_array_append_val(list, host);
	host.id = fixture->other_id;
	g_array_append_val(list, host);
	hosts = loom_hosts_build(list);
	loom_rights_ops.hosts_changed(fixture->rights, hosts, START_US);
	loom_hosts_release(hosts);
	g_array_free(list, TRUE);
}

/* Starts with this daemon as the pool of the two, or as the child. */
static void
start_fixture(struct fixture *fixture, bool as_pool)
{
	struct loom_sender sender = { .send = record_sent, .arg = fixture };
	struct loom_rights_summary summary;
	uint64_t id;

	memset(fixture, 0, sizeof(*fixture));
	fixture->random = test_random_new(1);
	fixture->self = (struct loom_self){ .host = "h",
		.service = "s",
		.data_centre = "dc",
		.region = "r",
		.incarnation = 77 };
	fixture->other_id = 1;
	for (id = 2;; id++) {
		fixture->self.host_id = id;
		fixture->rights = loom_rights_new(NULL, &fixture->self, &sender,
		    &fixture->random, NULL, NULL, START_US);
		load_manifest(fixture);
		list_hosts(fixture);
		loom_rights_summary(fixture->rights, &summary);
		if ((summary.pool_host_id == 0) == as_pool)
			break;
		talloc_free(fixture->rights);
	}
}

static void
end_fixture(struct fixture *fixture)
{
	talloc_free(fixture->rights);
	test_random_free(&fixture->random);
}

static void
deliver_down(struct fixture *fixture, uint64_t seq, uint64_t asked_us,
    double capacity, double tokens, uint64_t now_us)
{
	static struct loom_rights_down down;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct loom_message_source from = { fixture->other_id, 5 };
	size_t len;

	down = (struct loom_rights_down){ .seq = seq,
		.child_incarnation = fixture->self.incarnation,
		.child_now_us = asked_us,
		.now_us = 1,
		.nentries = 1 };
	down.entries[0] = (struct loom_rights_down_entry){
		.team_id = loom_name_id(TEAM),
		.flags = LOOM_RIGHTS_GRANT,
		.share.capacity =
		    (uint64_t)(capacity * (double)LOOM_SHARE_WHOLE),
		.tokens_utok = (uint64_t)(tokens * (double)LOOM_TOKEN_UTOK),
		.duration_us = 400 * MS,
	};
	len = loom_rights_down_pack(&down, buf, sizeof(buf));
	loom_rights_ops.message(
	    fixture->rights, &from, LOOM_RIGHTS_DOWN, buf, len, now_us);
}

static double
level(struct fixture *fixture, uint64_t now_us)
{
	struct loom_rights_status status;

	loom_rights_team_status(
	    fixture->rights, loom_name_id(TEAM), now_us, &status);
	return status.level;
}

/*
 * A response takes 300 ms. The pool counts its loan from sending it and the
 * daemon from sending the request, so that the loan ends first at the daemon.
 * If the daemon counted from the arrival, the same tokens could be used here
 * and at the pool.
 */
static void
test_loan_starts_at_request(void)
{
	const uint64_t asked_us = START_US + 10 * MS;
	struct fixture fixture;

	start_fixture(&fixture, false);
	deliver_down(&fixture, 1, asked_us, 0.5, 4, asked_us + 300 * MS);
	TEST_CHECK(level(&fixture, asked_us + 390 * MS) > 3.9, "lent");
	TEST_CHECK(level(&fixture, asked_us + 400 * MS) < 0.001, "ended");
	/* A response that took longer than the loan has no effect. */
	deliver_down(&fixture, 2, asked_us, 0.5, 4, asked_us + 401 * MS);
	TEST_CHECK(level(&fixture, asked_us + 402 * MS) < 0.001, "too late");
	end_fixture(&fixture);
}

/*
 * The network repeats a grant and delivers an older one late. Its tokens must
 * be added once.
 */
static void
test_repeated_grants(void)
{
	const uint64_t asked_us = START_US + 10 * MS;
	struct fixture fixture;

	start_fixture(&fixture, false);
	deliver_down(&fixture, 2, asked_us, 0.5, 4, asked_us + MS);
	deliver_down(&fixture, 2, asked_us, 0.5, 4, asked_us + MS);
	deliver_down(&fixture, 1, asked_us, 0.5, 4, asked_us + 2 * MS);
	TEST_CHECK(level(&fixture, asked_us + 3 * MS) < 4.001, "%f",
	    level(&fixture, asked_us + 3 * MS));
	/*
	 * The echoed time lies in the future of this clock, as in a response to
	 * the daemon's previous process.
	 */
	deliver_down(&fixture, 3, asked_us + 9 * MS, 1, 4, asked_us + 4 * MS);
	TEST_CHECK(
	    level(&fixture, asked_us + 5 * MS) < 4.001, "echo in the future");
	end_fixture(&fixture);
}

/*
 * loom_bucket_apply_grant() itself rejects repeated and older sequence numbers,
 * which the message handler also checks.
 */
static void
test_grant_sequence(void)
{
	struct loom_team_bucket holding = { .rate_per_s = 50, .burst = 20 };
	struct loom_base_share none = { 0 };
	struct loom_grant grant = { .lender_host_id = 1,
		.lender_incarnation = 1,
		.seq = 5,
		.share = { 0, LOOM_SHARE_WHOLE / 2 },
		.tokens_utok = LOOM_TOKEN_UTOK,
		.until_us = 1000 };

	CU_ASSERT_TRUE(loom_bucket_apply_grant(&holding, &none, &grant, 1));
	CU_ASSERT_FALSE(loom_bucket_apply_grant(&holding, &none, &grant, 2));
	grant.seq = 4;
	CU_ASSERT_FALSE(loom_bucket_apply_grant(&holding, &none, &grant, 3));
	CU_ASSERT_EQUAL(holding.level_utok, LOOM_TOKEN_UTOK);
	/*
	 * What was lent on stays until it expires, even if the pool lends less.
	 */
	holding.lent.capacity = LOOM_SHARE_WHOLE / 4;
	grant.seq = 6;
	grant.share.capacity = 0;
	CU_ASSERT_TRUE(loom_bucket_apply_grant(&holding, &none, &grant, 4));
	CU_ASSERT_EQUAL(
	    holding.borrowed[0].share.capacity, LOOM_SHARE_WHOLE / 4);
}

/*
 * A pool sends a grant while the borrower reports that it keeps little. If the
 * pool took back the rest, the grant would let the borrower use it again, and
 * both would admit calls with it.
 */
static void
test_confirm(void)
{
	struct loom_lender_loan loan = { 0 };
	struct loom_share keep = { 10, 10 };

	loom_lender_loan_sent(&loan, 7, (struct loom_share){ 100, 100 }, 1000);
	loom_lender_loan_confirm(&loan, 6, keep);
	CU_ASSERT_EQUAL(loan.committed.capacity, 100);
	loom_lender_loan_sent(&loan, 8, (struct loom_share){ 50, 50 }, 900);
	CU_ASSERT_EQUAL(loan.committed.capacity, 100);
	CU_ASSERT_EQUAL(loan.until_us, 1000);
	loom_lender_loan_confirm(&loan, 8, keep);
	CU_ASSERT_EQUAL(loan.committed.capacity, 10);
}

static void
deliver_up(struct fixture *fixture, uint64_t seq, uint64_t incarnation,
    uint64_t pool_now_us, double parts, uint64_t now_us)
{
	static struct loom_rights_up up;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct loom_message_source from = { fixture->other_id, 5 };
	size_t len;

	up = (struct loom_rights_up){ .seq = seq,
		.now_us = 1,
		.pool_incarnation = incarnation,
		.pool_now_us = pool_now_us,
		.lend_parts = (uint64_t)(parts * (double)LOOM_SHARE_WHOLE),
		.lend_us = 800 * MS };
	len = loom_rights_up_pack(&up, buf, sizeof(buf));
	loom_rights_ops.message(
	    fixture->rights, &from, LOOM_RIGHTS_UP, buf, len, now_us);
	loom_rights_ops.tick(fixture->rights, now_us);
}

static double
pooled(struct fixture *fixture, uint64_t now_us)
{
	struct loom_rights_summary summary;

	loom_rights_ops.tick(fixture->rights, now_us);
	loom_rights_summary(fixture->rights, &summary);
	return summary.pooled;
}

/*
 * A daemon lends its owned share to its pool in a message that takes 300 ms.
 * The loan counts from the time of the pool's clock that the message echoes,
 * which is before it was sent. A message addressed to the pool's previous
 * process lends nothing.
 */
static void
test_base_loan_starts_at_echo(void)
{
	const uint64_t echo_us = START_US + 10 * MS;
	struct fixture fixture;

	start_fixture(&fixture, true);
	deliver_up(&fixture, 1, 76, echo_us, 0.5, echo_us + 100 * MS);
	TEST_CHECK(pooled(&fixture, echo_us + 200 * MS) == 0,
	    "for the previous process");
	deliver_up(&fixture, 2, 77, echo_us, 0.5, echo_us + 300 * MS);
	TEST_CHECK(pooled(&fixture, echo_us + 400 * MS) == 0.5, "lent");
	deliver_up(&fixture, 1, 77, echo_us, 1, echo_us + 410 * MS);
	TEST_CHECK(
	    pooled(&fixture, echo_us + 510 * MS) == 0.5, "older message");
	TEST_CHECK(pooled(&fixture, echo_us + 801 * MS) == 0, "ended");
	end_fixture(&fixture);
}

/*
 * A worker reads the clock, the daemon lends its owned share to its pool, and
 * then the worker takes a token using the time it read. The tokens of the lent
 * share must be gone, or they could be used at both places.
 */
static void
test_lent_share_is_unusable(void)
{
	struct fixture fixture;
	uint64_t retry_us, taken_us, now_us = START_US;

	start_fixture(&fixture, false);
	for (; now_us < START_US + 4000 * MS; now_us += 2 * MS)
		loom_rights_ops.tick(fixture.rights, now_us);
	TEST_CHECK(level(&fixture, now_us) > 4, "owns its share");
	/* The silent pool sends a message, is chosen again, and responds. */
	deliver_down(&fixture, 8, now_us - MS, 0, 0, now_us);
	deliver_down(&fixture, 9, now_us - MS, 0, 0, now_us + MS);
	loom_rights_ops.tick(fixture.rights, now_us + 100 * MS);
	TEST_CHECK(loom_rights_take(fixture.rights, loom_name_id(TEAM),
		       now_us + 99 * MS, &retry_us, &taken_us) != LOOM_OK,
	    "a token of the lent share was taken");
	end_fixture(&fixture);
}

/*
 * The clock of a pool. It is slower than this daemon's by nearly as much as
 * loans allow for.
 */
static uint64_t
slow_clock_us(uint64_t now_us)
{
	return now_us - now_us / 260;
}

/*
 * Ticks for `us` and returns the number of messages sent. Each is answered at
 * once, or none is.
 */
static unsigned
count_messages(
    struct fixture *fixture, uint64_t *now_us, uint64_t us, bool answered)
{
	static struct loom_rights_down down;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct loom_message_source from = { fixture->other_id, 5 };
	const uint64_t until_us = *now_us + us;
	unsigned before, begun = fixture->sent;
	size_t len;

	for (; *now_us < until_us; *now_us += 20 * MS) {
		before = fixture->sent;
		loom_rights_ops.tick(fixture->rights, *now_us);
		if (fixture->sent == before)
			continue;
		TEST_CHECK(fixture->up.pool_now_us <= slow_clock_us(*now_us),
		    "pool time in the future of its clock");
		if (!answered)
			continue;
		down = (struct loom_rights_down){ .seq = ++fixture->seq,
			.child_incarnation = fixture->self.incarnation,
			.child_now_us = fixture->up.now_us,
			.now_us = slow_clock_us(*now_us) };
		len = loom_rights_down_pack(&down, buf, sizeof(buf));
		loom_rights_ops.message(fixture->rights, &from,
		    LOOM_RIGHTS_DOWN, buf, len, *now_us);
	}
	return fixture->sent - begun;
}

/*
 * A daemon without calls lends its share for long and renews it rarely. A lost
 * renewal must be repeated at once, so that the loan does not end at a pool
 * that lends from it, and a pool that does not respond must be left as early as
 * by a busy daemon.
 */
static void
test_idle_renewals(void)
{
	struct loom_rights_summary summary;
	struct fixture fixture;
	uint64_t now_us = START_US;
	unsigned n;

	start_fixture(&fixture, false);
	count_messages(&fixture, &now_us, 6000 * MS, true);
	n = count_messages(&fixture, &now_us, 8000 * MS, true);
	TEST_CHECK(n >= 8 && n <= 10, "%u in 8 s", n);
	TEST_CHECK(fixture.up.lend_us == 1600 * MS, "duration of an idle loan");
	n = count_messages(&fixture, &now_us, 1300 * MS, false);
	TEST_CHECK(n >= 4, "%u repeated", n);
	loom_rights_summary(fixture.rights, &summary);
	TEST_CHECK(summary.pool_host_id == 0, "silent pool was not left");
	end_fixture(&fixture);
}

/*
 * The number of renewals in two seconds, with or without calls, from a pool
 * that has many tokens.
 */
static unsigned
count_renewals_with_calls(
    struct fixture *fixture, uint64_t *now_us, uint32_t flags, bool calls)
{
	struct loom_message_source from = { fixture->other_id, 5 };
	static struct loom_rights_down down;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	const uint64_t until_us = *now_us + 2000 * MS;
	unsigned before, begun = fixture->sent;
	uint64_t retry_us, taken_us;
	size_t len;

	for (; *now_us < until_us; *now_us += 20 * MS) {
		if (calls)
			loom_rights_take(fixture->rights, loom_name_id(TEAM),
			    *now_us, &retry_us, &taken_us);
		before = fixture->sent;
		loom_rights_ops.tick(fixture->rights, *now_us);
		if (fixture->sent == before)
			continue;
		down = (struct loom_rights_down){ .seq = ++fixture->seq,
			.child_incarnation = fixture->self.incarnation,
			.child_now_us = fixture->up.now_us,
			.now_us = slow_clock_us(*now_us),
			.nentries = 1 };
		down.entries[0] = (struct loom_rights_down_entry){
			.team_id = loom_name_id(TEAM),
			.flags = LOOM_RIGHTS_GRANT | flags,
			.share.capacity = LOOM_SHARE_WHOLE,
			.tokens_utok = 20 * LOOM_TOKEN_UTOK,
			.duration_us = 400 * MS,
		};
		len = loom_rights_down_pack(&down, buf, sizeof(buf));
		loom_rights_ops.message(fixture->rights, &from,
		    LOOM_RIGHTS_DOWN, buf, len, *now_us);
	}
	return fixture->sent - begun;
}

/*
 * While calls arrive and the pool has plenty, every second renewal is skipped.
 * When the calls stop, the next renewal must report it, because the lent share
 * is needed where the calls went. Without plenty each renewal is sent.
 */
static void
test_relaxed_renewals(void)
{
	struct fixture fixture;
	uint64_t now_us = START_US, told;
	unsigned n;

	start_fixture(&fixture, false);
	count_messages(&fixture, &now_us, 200 * MS, true);
	count_renewals_with_calls(
	    &fixture, &now_us, LOOM_RIGHTS_MORE_PREFETCH, true);
	count_renewals_with_calls(
	    &fixture, &now_us, LOOM_RIGHTS_MORE_PREFETCH, true);
	n = count_renewals_with_calls(
	    &fixture, &now_us, LOOM_RIGHTS_MORE_PREFETCH, true);
	TEST_CHECK(n >= 9 && n <= 12, "%u in 2 s", n);
	told = fixture.up.entries[0].demand_mhz;
	count_messages(&fixture, &now_us, 300 * MS, true);
	TEST_CHECK(fixture.up.entries[0].demand_mhz < told / 2,
	    "lower demand not reported");
	count_renewals_with_calls(&fixture, &now_us, 0, true);
	n = count_renewals_with_calls(&fixture, &now_us, 0, true);
	TEST_CHECK(n >= 18, "%u in 2 s without plenty", n);
	end_fixture(&fixture);
}

/*
 * An idle daemon's long loan to a pool must, until its next renewal, outlast
 * what that pool lends on. Otherwise the pool would lend less than it has, and
 * callers would wait.
 */
static void
test_idle_loans_nest(void)
{
	uint32_t stage, stages, large;
	uint64_t left_us;

	for (large = 0; large < 2; large++) {
		for (stages = 1; stages <= 4; stages++) {
			for (stage = 0; stage < stages; stage++) {
				left_us = loom_loan_idle_to_parent_us(
					      stage, stages, large) -
				    loom_loan_idle_renew_us(stages, large);
				TEST_CHECK(left_us >= LOOM_LOAN_STEP_US +
					    (stage + 1 < stages
						    ? loom_loan_idle_to_parent_us(
							  stage + 1, stages,
							  large)
						    : loom_loan_to_child_us(
							  stages)),
				    "%u of %u", stage, stages);
			}
		}
	}
}

/*
 * With many calls far below a team's rate, a daemon that held one token would
 * send its pool a request for each call. It must be given more tokens in
 * advance, but not near the rate, not by a pool that is half empty, and not
 * when each of many borrowers could have only one.
 */
static void
test_prefetch_in_plenty(void)
{
	static const struct {
		bool plenty;
		double level, all_per_s; /* level: of 100 tokens */
		double least, most;
	} cases[] = {
		{ true, 90, 300, 3, 6 },
		{ false, 90, 300, 1, 1.3 },
		{ true, 45, 300, 1, 1.3 },
		{ true, 90, 600, 1, 1.3 },
		{ true, 10, 300, 0, 0 },
	};
	const struct loom_team_bucket team = { .rate_per_s = 500,
		.burst = 100 };
	const struct loom_share whole = { LOOM_SHARE_WHOLE, LOOM_SHARE_WHOLE };
	struct loom_loan_request ask = { .lendable = whole,
		.team_share = whole,
		.spare_utok = 100 * LOOM_TOKEN_UTOK,
		.demand_per_s = 15,
		.prefetch_utok =
		    loom_loan_prefetch_target_utok(15, false, true) };
	struct loom_loan_decision answer;
	double tokens;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		ask.plenty = cases[i].plenty;
		ask.level_utok = (uint64_t)cases[i].level * LOOM_TOKEN_UTOK;
		ask.demand_all_per_s = cases[i].all_per_s;
		answer = loom_loan_decide(&team, &ask);
		tokens = (double)answer.added_utok / (double)LOOM_TOKEN_UTOK;
		TEST_CHECK(tokens >= cases[i].least && tokens <= cases[i].most,
		    "%zu: %f tokens", i, tokens);
	}
}

/* Messages truncated at each byte are ignored. */
static void
test_malformed(void)
{
	static struct loom_rights_up up, read;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct fixture fixture;
	struct loom_message_source from;
	size_t i, len;

	start_fixture(&fixture, true);
	from = (struct loom_message_source){ fixture.other_id, 5 };
	up = (struct loom_rights_up){ .seq = 1, .nentries = 2 };
	up.entries[0].team_id = loom_name_id(TEAM);
	up.entries[0].needed_utok = LOOM_TOKEN_UTOK;
	len = loom_rights_up_pack(&up, buf, sizeof(buf));
	CU_ASSERT_TRUE(loom_rights_up_unpack(&read, buf, len));
	CU_ASSERT_EQUAL(read.entries[0].needed_utok, LOOM_TOKEN_UTOK);
	for (i = 0; i < len; i++) {
		TEST_CHECK(!loom_rights_up_unpack(&read, buf, i), "%zu", i);
		loom_rights_ops.message(fixture.rights, &from, LOOM_RIGHTS_UP,
		    buf, i, START_US + MS);
		loom_rights_ops.message(fixture.rights, &from, LOOM_RIGHTS_DOWN,
		    buf, i, START_US + MS);
	}
	CU_ASSERT_EQUAL(fixture.sent, 0);
	end_fixture(&fixture);
}

static const struct test_case tests[] = {
	{ "loan starts at the request", test_loan_starts_at_request },
	{ "repeated grants", test_repeated_grants },
	{ "sequence numbers of grants", test_grant_sequence },
	{ "confirm", test_confirm },
	{ "base loan starts at the echo", test_base_loan_starts_at_echo },
	{ "lent share is unusable", test_lent_share_is_unusable },
	{ "idle renewals", test_idle_renewals },
	{ "relaxed renewals", test_relaxed_renewals },
	{ "idle loans nest", test_idle_loans_nest },
	{ "prefetch in plenty", test_prefetch_in_plenty },
	{ "malformed", test_malformed },
};

TEST_MAIN("rights loan", tests)
