/*
 * Contexts: which ones are rejected, and that a recorded context is never
 * accepted again.
 */

#include <string.h>

#include "loom/calls.h"
#include "loom/context.h"
#include "support/test.h"

#define EXECUTOR 7
#define INCARNATION 70
#define NOW (UINT64_C(500) * LOOM_US_PER_S)
#define SECOND LOOM_US_PER_S

static const uint8_t secret[LOOM_FLEET_SECRET_SIZE] = { 1, 2, 3 };

static struct loom_context
sample_context(void)
{
	return (struct loom_context){
		.kind = LOOM_CONTEXT_PEER,
		.root = { { 1, 1 } },
		.call = { { 2, 2 } },
		.team_id = 5,
		.key_prefix = { 3, 3 },
		.importance = LOOM_HIGH,
		.remaining_us = 5 * SECOND,
		.hops = 3,
		.home_host_id = 8,
		.home_incarnation = 80,
		.audience_host_id = EXECUTOR,
		.audience_incarnation = INCARNATION,
		.audience_stamp_us = NOW,
		.issuer_host_id = 9,
		.issuer_incarnation = UINT64_MAX,
		.wants_ticket = true,
	};
}

static enum loom_result
verify_text(const char *text, size_t len, enum loom_context_kind kind,
    uint64_t now_us, struct loom_context *out)
{
	const struct loom_context_expect expect = {
		.kind = kind,
		.host_id = EXECUTOR,
		.incarnation = INCARNATION,
	};
	struct loom_context_key key;

	loom_context_key_derive(&key, secret);
	return loom_context_verify(text, len, &key, &expect, now_us, out);
}

static size_t
encode(const struct loom_context *context, char *text)
{
	struct loom_context_key key;

	loom_context_key_derive(&key, secret);
	return loom_context_encode(context, &key, text, LOOM_CONTEXT_TEXT_MAX);
}

static enum loom_result
round_trip(const struct loom_context *context, uint64_t now_us)
{
	char text[LOOM_CONTEXT_TEXT_MAX];
	struct loom_context out;
	size_t len = encode(context, text);

	return verify_text(text, len, LOOM_CONTEXT_PEER, now_us, &out);
}

static void
test_round_trip(void)
{
	struct loom_context context = sample_context(), out;
	char text[LOOM_CONTEXT_TEXT_MAX];
	size_t len = encode(&context, text);

	CU_ASSERT_EQUAL(len, strlen(text));
	CU_ASSERT_EQUAL(
	    verify_text(text, len, LOOM_CONTEXT_PEER, NOW, &out), LOOM_OK);
	CU_ASSERT_EQUAL(memcmp(&out.root, &context.root, 16), 0);
	CU_ASSERT_EQUAL(memcmp(&out.call, &context.call, 16), 0);
	CU_ASSERT_EQUAL(memcmp(out.key_prefix, context.key_prefix, 16), 0);
	CU_ASSERT_EQUAL(out.team_id, context.team_id);
	CU_ASSERT_EQUAL(out.importance, context.importance);
	CU_ASSERT_EQUAL(out.remaining_us, context.remaining_us);
	CU_ASSERT_EQUAL(out.hops, context.hops);
	CU_ASSERT_EQUAL(out.home_host_id, context.home_host_id);
	CU_ASSERT_EQUAL(out.home_incarnation, context.home_incarnation);
	CU_ASSERT_EQUAL(out.issuer_host_id, context.issuer_host_id);
	CU_ASSERT_EQUAL(out.issuer_incarnation, context.issuer_incarnation);
	CU_ASSERT_TRUE(out.wants_ticket);
}

/*
 * The largest values must fit, so that no call fails because of the size of its
 * own header.
 */
static void
test_largest(void)
{
	struct loom_context context;
	char text[LOOM_CONTEXT_TEXT_MAX];

	memset(&context, 0xff, sizeof(context));
	context.wants_ticket = true;
	CU_ASSERT_TRUE(encode(&context, text) > 0);
}

/*
 * An upstream or an intermediate host sends a context that it may not use: for
 * another daemon, of another kind, for an earlier incarnation, or one that it
 * kept until its call id was dropped from the replay set. If accepted, each
 * would execute work on behalf of another team.
 */
static void
test_refused(void)
{
	static const struct {
		const char *name;
		size_t offset; /* of the field to change */
		size_t size;
		uint64_t value;
		uint64_t now_us;
		enum loom_result code;
	} cases[] = {
#define FIELD(f) \
	offsetof(struct loom_context, f), sizeof(((struct loom_context *)0)->f)
		{ "good", FIELD(hops), 1, NOW, LOOM_OK },
		{ "upstream kind", FIELD(kind), LOOM_CONTEXT_UPSTREAM, NOW,
		    LOOM_CONTEXT_INVALID },
		{ "no kind", FIELD(kind), 0, NOW, LOOM_CONTEXT_INVALID },
		{ "other audience", FIELD(audience_host_id), 8, NOW,
		    LOOM_CONTEXT_INVALID },
		{ "before our restart", FIELD(audience_incarnation), 69, NOW,
		    LOOM_CONTEXT_STALE },
		{ "nothing remains", FIELD(remaining_us), 0, NOW,
		    LOOM_CONTEXT_EXPIRED },
		{ "no hops", FIELD(hops), 0, NOW, LOOM_CONTEXT_INVALID },
		{ "deepest", FIELD(hops), LOOM_HOPS_MAX, NOW, LOOM_OK },
		{ "too deep", FIELD(hops), LOOM_HOPS_MAX + 1, NOW,
		    LOOM_CONTEXT_HOPS },
		{ "importance", FIELD(importance), LOOM_IMPORTANCE_COUNT, NOW,
		    LOOM_CONTEXT_INVALID },
		{ "late within skew", FIELD(hops), 1,
		    NOW + 5 * SECOND + LOOM_CLOCK_SKEW_US, LOOM_OK },
		{ "kept past its deadline", FIELD(hops), 1,
		    NOW + 5 * SECOND + LOOM_CLOCK_SKEW_US + 1,
		    LOOM_CONTEXT_STALE },
		{ "kept for an hour", FIELD(hops), 1, NOW + 3600 * SECOND,
		    LOOM_CONTEXT_STALE },
		{ "stamped ahead", FIELD(audience_stamp_us),
		    NOW + LOOM_CLOCK_SKEW_US + 1, NOW, LOOM_CONTEXT_STALE },
#undef FIELD
	};
	struct loom_context context;
	enum loom_result code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		context = sample_context();
		memcpy((char *)&context + cases[i].offset, &cases[i].value,
		    cases[i].size);
		code = round_trip(&context, cases[i].now_us);
		TEST_CHECK(
		    code == cases[i].code, "%s: %d", cases[i].name, code);
	}
}

/*
 * Each change of a single character, each truncation and an appended character
 * must be rejected.
 */
static void
test_forged(void)
{
	struct loom_context context = sample_context(), out;
	char text[LOOM_CONTEXT_TEXT_MAX], copy[LOOM_CONTEXT_TEXT_MAX + 1];
	size_t i, len = encode(&context, text);

	for (i = 0; i < len; i++) {
		memcpy(copy, text, len + 1);
		copy[i] = copy[i] == 'A' ? 'Q' : 'A';
		TEST_CHECK(verify_text(copy, len, LOOM_CONTEXT_PEER, NOW,
			       &out) == LOOM_CONTEXT_INVALID,
		    "char %zu", i);
		TEST_CHECK(verify_text(text, i, LOOM_CONTEXT_PEER, NOW, &out) ==
			LOOM_CONTEXT_INVALID,
		    "cut at %zu", i);
	}
	memcpy(copy, text, len);
	copy[len] = 'A';
	CU_ASSERT_EQUAL(
	    verify_text(copy, len + 1, LOOM_CONTEXT_PEER, NOW, &out),
	    LOOM_CONTEXT_INVALID);
}

/*
 * Contexts with a few random characters, from a fixed seed: none may crash the
 * decoder, and none with another call id may be accepted.
 */
static void
test_random_bytes(void)
{
	struct loom_random random = test_random_new(11);
	struct loom_context context = sample_context(), out;
	char text[LOOM_CONTEXT_TEXT_MAX];
	size_t i, len, at;
	unsigned passed = 0;

	for (i = 0; i < 20000; i++) {
		len = encode(&context, text);
		for (at = loom_random_below(&random, 4) + 1; at > 0; at--)
			text[loom_random_below(&random, len)] =
			    (char)random.next(random.arg);
		len -= loom_random_below(&random, 3);
		passed += verify_text(text, len, LOOM_CONTEXT_PEER, NOW,
			      &out) == LOOM_OK &&
		    memcmp(&out.call, &context.call, 16) != 0;
	}
	CU_ASSERT_EQUAL(passed, 0);
	test_random_free(&random);
}

/*
 * A peer context is received twice, the second time at the last moment at which
 * the age check accepts it. Its call id must still be in the replay set.
 */
static void
test_replay(void)
{
	struct loom_replay_set *replay = loom_replay_set_new(65536);
	struct loom_context context = sample_context();
	uint64_t last_us = NOW + 5 * SECOND + LOOM_CLOCK_SKEW_US;
	uint32_t i;

	CU_ASSERT_EQUAL(loom_replay_set_admit(replay, &context, NOW), LOOM_OK);
	for (i = 0; i < 5000; i++) {
		struct loom_context other = sample_context();

		memcpy(other.call.bytes, &i, sizeof(i));
		other.call.bytes[15] = (uint8_t)i;
		loom_replay_set_admit(replay, &other, last_us);
	}
	CU_ASSERT_EQUAL(round_trip(&context, last_us), LOOM_OK);
	CU_ASSERT_EQUAL(loom_replay_set_admit(replay, &context, last_us),
	    LOOM_CONTEXT_REPLAYED);
	loom_replay_set_free(replay);
}

/*
 * Many call ids fill the replay set. New calls must be rejected rather than ids
 * dropped early, and space must become free when ids expire.
 */
static void
test_replay_full(void)
{
	struct loom_replay_set *replay = loom_replay_set_new(16);
	struct loom_context context = sample_context();
	uint64_t later_us = NOW + 8 * SECOND;

	CU_ASSERT_EQUAL(loom_replay_set_admit(replay, &context, NOW), LOOM_OK);
	context.call.bytes[0]++;
	CU_ASSERT_EQUAL(
	    loom_replay_set_admit(replay, &context, NOW), LOOM_OVERLOAD);
	context.audience_stamp_us = later_us;
	CU_ASSERT_EQUAL(
	    loom_replay_set_admit(replay, &context, later_us), LOOM_OK);
	loom_replay_set_free(replay);
}

static void
test_clock(void)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{ "0000000000000046.12345", true },
		{ "ffffffffffffffff.999999999999999999", true },
		{ "46", false },
		{ "46.", false },
		{ "46.1x", false },
		{ "-1.5", false },
		{ "", false },
		{ "46.9999999999999999999", false },
	};
	struct loom_peer_clock clock = { 0 };
	struct loom_context context = { 0 };
	char text[LOOM_CLOCK_TEXT_MAX];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(
		    loom_clock_update(&clock, cases[i].text, 0) == cases[i].ok,
		    "%s", cases[i].text);
	loom_clock_format(INCARNATION, 1000, text);
	CU_ASSERT_TRUE(loom_clock_update(&clock, text, 50));
	loom_clock_stamp(&clock, 80, &context);
	CU_ASSERT_EQUAL(context.audience_incarnation, INCARNATION);
	CU_ASSERT_EQUAL(context.audience_stamp_us, 1030);
}

/*
 * An upstream uses its context after the call has ended, or for another team.
 * Both must be rejected.
 */
static void
test_live_calls(void)
{
	struct loom_calls *calls = loom_calls_new();
	struct loom_live_call call = { .context = sample_context(),
		.deadline_us = NOW + 10 };
	struct loom_context other_team = sample_context();

	other_team.team_id++;
	CU_ASSERT_EQUAL(loom_calls_find(calls, &call.context, NOW, NULL),
	    LOOM_CONTEXT_INVALID);
	CU_ASSERT_EQUAL(loom_calls_begin(calls, &call), LOOM_OK);
	CU_ASSERT_EQUAL(loom_calls_begin(calls, &call), LOOM_CONTEXT_REPLAYED);
	CU_ASSERT_EQUAL(
	    loom_calls_find(calls, &call.context, NOW, NULL), LOOM_OK);
	CU_ASSERT_EQUAL(loom_calls_find(calls, &other_team, NOW, NULL),
	    LOOM_CONTEXT_INVALID);
	CU_ASSERT_EQUAL(loom_calls_find(calls, &call.context, NOW + 10, NULL),
	    LOOM_CONTEXT_EXPIRED);
	loom_calls_end(calls, &call.context.call);
	CU_ASSERT_EQUAL(loom_calls_find(calls, &call.context, NOW, NULL),
	    LOOM_CONTEXT_INVALID);
	CU_ASSERT_EQUAL(loom_calls_count(calls), 0);
	loom_calls_free(calls);
}

static const struct test_case tests[] = {
	{ "round trip", test_round_trip },
	{ "largest", test_largest },
	{ "refused", test_refused },
	{ "forged", test_forged },
	{ "random bytes", test_random_bytes },
	{ "replay", test_replay },
	{ "replay set full", test_replay_full },
	{ "peer clock", test_clock },
	{ "live calls", test_live_calls },
};

TEST_MAIN("context", tests)
