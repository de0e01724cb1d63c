/* Tests which refusals tell their caller to come back, and when. */

#include "loom/retry_after.h"
#include "support/test.h"

#define WAIT_MIN_MS 250
#define WAIT_MAX_MS 5000
#define DRAWS 100

/*
 * Whether a retry cannot help: the same request gets the same answer whenever
 * it is sent, or has to be changed first, for example with a new ticket.
 */
static bool
is_final(enum loom_result code)
{
	static const enum loom_result final_codes[] = { LOOM_INTERNAL,
		LOOM_BAD_REQUEST, LOOM_KEY_MISSING, LOOM_KEY_UNKNOWN,
		LOOM_KEY_WITHDRAWN, LOOM_ROUTE_UNKNOWN, LOOM_CONTEXT_INVALID,
		LOOM_CONTEXT_EXPIRED, LOOM_BODY_TOO_LARGE, LOOM_HEADER_INVALID,
		LOOM_DEADLINE_INVALID, LOOM_CALLER_GONE, LOOM_TICKET_NEEDED,
		LOOM_TICKET_INVALID, LOOM_TICKET_LOST, LOOM_TICKET_EXPIRED,
		LOOM_TICKET_RAN, LOOM_TICKET_MISMATCH, LOOM_TICKET_SPENT,
		LOOM_TICKET_UNKNOWN, LOOM_CONTEXT_REPLAYED, LOOM_CONTEXT_HOPS };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(final_codes); i++) {
		if (final_codes[i] == code)
			return true;
	}
	return false;
}

static void
check_code(const struct loom_result_info *info)
{
	struct loom_random random = test_random_new(7);
	uint32_t ms, min_ms = UINT32_MAX, max_ms = 0;
	int i;

	for (i = 0; i < DRAWS; i++) {
		ms = loom_retry_after_ms(info->code, &random);
		min_ms = MIN(min_ms, ms);
		max_ms = MAX(max_ms, ms);
	}
	if (is_final(info->code))
		TEST_CHECK(max_ms == 0 && !loom_retry_after_helps(info->code),
		    "%s: %u ms", info->name, max_ms);
	else
		TEST_CHECK(loom_retry_after_helps(info->code) &&
			min_ms >= WAIT_MIN_MS && max_ms <= WAIT_MAX_MS &&
			max_ms >= 2 * min_ms,
		    "%s: %u to %u ms", info->name, min_ms, max_ms);
	test_random_free(&random);
}

/*
 * Each code that a caller can see is either final or has a wait with jitter. A
 * new code has to be added to one of the two lists.
 */
static void
test_every_code(void)
{
	static const enum loom_result codes[] = {
#define LOOM_RESULT(name, ...) LOOM_##name,
#include "loom/results/all.def"
#undef LOOM_RESULT
	};
	const struct loom_result_info *info;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(codes); i++) {
		info = loom_result_info(codes[i]);
		if (info->http_status != 0)
			check_code(info);
	}
}

/*
 * A token that is available in less than a millisecond is still a wait, and an
 * estimate of days is limited where 32 bits would overflow.
 */
static void
test_estimates(void)
{
	static const struct {
		uint64_t wait_us;
		uint32_t ms;
	} cases[] = {
		{ 0, 0 },
		{ 1, 1 },
		{ 1000, 1 },
		{ 1001, 2 },
		{ UINT64_C(1800) * LOOM_US_PER_S, 1800000 },
		{ UINT64_C(3600) * LOOM_US_PER_S, LOOM_RETRY_AFTER_MAX_MS },
		{ UINT64_C(4294968) * LOOM_US_PER_S, LOOM_RETRY_AFTER_MAX_MS },
		{ UINT64_MAX, LOOM_RETRY_AFTER_MAX_MS },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(
		    loom_retry_after_from_us(cases[i].wait_us) == cases[i].ms,
		    "wait of %" G_GUINT64_FORMAT " us", cases[i].wait_us);
}

static const struct test_case tests[] = {
	{ "every code", test_every_code },
	{ "estimates", test_estimates },
};

TEST_MAIN("retry after", tests)
