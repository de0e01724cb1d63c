/*
 * Messages that hand over tickets: what the successor must reject, and random
 * changes of the state from a fixed seed. The state is encrypted and
 * authenticated, but the sender may run another version or have faulty memory.
 */

#include <string.h>

#include "inner/handover_codec.h"
#include "support/test.h"

static const uint8_t key[LOOM_DERIVED_KEY_SIZE] = { 9, 9 };
static const struct handover_pair pair = {
	.source_host_id = 1,
	.source_incarnation = 2,
	.successor_incarnation = 3,
};

static void
test_chunk(void)
{
	static const struct {
		const char *name;
		struct handover_pair pair;
		size_t cut;
		uint8_t key_byte;
		bool ok;
	} cases[] = {
		{ "valid", { 1, 2, 3 }, 0, 9, true },
		{ "other source", { 4, 2, 3 }, 0, 9, false },
		{ "source's other incarnation", { 1, 4, 3 }, 0, 9, false },
		{ "successor restarted", { 1, 2, 4 }, 0, 9, false },
		{ "other fleet", { 1, 2, 3 }, 0, 8, false },
		{ "cut", { 1, 2, 3 }, 1, 9, false },
	};
	uint8_t message[HANDOVER_MESSAGE_MAX], other_key[LOOM_DERIVED_KEY_SIZE];
	static struct handover_chunk chunk;
	size_t i, len;
	bool ok;

	len = handover_chunk_seal(
	    key, &pair, 3, 7, (const uint8_t *)"state", 5, message);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memcpy(other_key, key, sizeof(key));
		other_key[1] = cases[i].key_byte;
		ok = handover_chunk_open(other_key, &cases[i].pair, message,
		    len - cases[i].cut, &chunk);
		TEST_CHECK(ok == cases[i].ok, "%s", cases[i].name);
	}
	CU_ASSERT_TRUE(handover_chunk_open(key, &pair, message, len, &chunk));
	CU_ASSERT_EQUAL(chunk.index, 3);
	CU_ASSERT_EQUAL(chunk.count, 7);
	CU_ASSERT_EQUAL(chunk.len, 5);
	CU_ASSERT_EQUAL(memcmp(chunk.data, "state", 5), 0);
	/*
	 * The first byte is the chunk index: a chunk must not be accepted under
	 * another index.
	 */
	message[0] = 4;
	CU_ASSERT_FALSE(handover_chunk_open(key, &pair, message, len, &chunk));
}

struct item_counts {
	unsigned issuers;
	unsigned windows;
	unsigned kept;
	unsigned used_as_unused; /* used numbers that were decoded as unused */
};

static void
count_issuer(void *arg, const struct handover_issuer *issuer)
{
	struct item_counts *counts = arg;

	(void)issuer;
	counts->issuers++;
}

static void
count_window(void *arg, uint64_t incarnation, uint64_t team_id,
    const struct ticket_window *window)
{
	struct item_counts *counts = arg;

	(void)incarnation;
	(void)team_id;
	counts->windows++;
	counts->used_as_unused +=
	    ticket_window_get(window, 4) == TICKET_STATE_UNUSED;
}

static void
count_answer(void *arg, const struct ticket_key *ticket,
    const struct loom_request_digest *digest, struct loom_answer *answer)
{
	struct item_counts *counts = arg;

	(void)ticket;
	(void)digest;
	counts->kept += answer->body_bytes == 4;
}

static size_t
pack_sample(uint8_t *state, size_t size)
{
	struct handover_issuer issuer = { .host_id = 1, .incarnation = 2 };
	struct loom_ticket_run run = { .key = { 2, 3, 4 } };
	struct ticket_window window = { 0 };
	struct loom_packer packer;

	ticket_window_issue(&window, 9);
	ticket_window_set(&window, 4, TICKET_STATE_RAN);
	run.answer = loom_answer_new(200, "A: b\r\n", 6, "body", 4);
	loom_pack_init(&packer, state, size);
	handover_state_begin(&packer);
	handover_issuer_pack(&packer, &issuer);
	handover_window_pack(&packer, 2, 3, &window);
	handover_answer_pack(&packer, &run);
	handover_state_end(&packer);
	loom_answer_release(run.answer);
	CU_ASSERT_TRUE(loom_pack_ok(&packer));
	return packer.len;
}

static bool
read_state(const uint8_t *state, size_t len, struct item_counts *counts)
{
	const struct handover_reader reader = {
		.issuer = count_issuer,
		.window = count_window,
		.answer = count_answer,
		.arg = counts,
	};

	memset(counts, 0, sizeof(*counts));
	return handover_state_read(state, len, &reader);
}

/*
 * A state that is truncated anywhere must install nothing at all. A partial
 * state would have windows that lack some of their used numbers.
 */
static void
test_state(void)
{
	uint8_t state[1024], *copy;
	struct item_counts counts;
	size_t len = pack_sample(state, sizeof(state)), cut;

	CU_ASSERT_TRUE(read_state(state, len, &counts));
	CU_ASSERT_EQUAL(counts.issuers, 1);
	CU_ASSERT_EQUAL(counts.windows, 1);
	CU_ASSERT_EQUAL(counts.kept, 1);
	CU_ASSERT_EQUAL(counts.used_as_unused, 0);
	for (cut = 0; cut < len; cut++) {
		copy = g_memdup2(state, cut);
		TEST_CHECK(!read_state(copy, cut, &counts), "cut at %zu", cut);
		TEST_CHECK(counts.issuers + counts.windows + counts.kept == 0,
		    "cut at %zu", cut);
		g_free(copy);
	}
}

/*
 * Nine ticket numbers take three bytes. If two bytes were accepted, number 8
 * would be decoded as unused.
 */
static void
test_short_window(void)
{
	static const uint8_t bits[4] = { 0xff, 0xff, 0xff, 0xff };
	struct loom_packer packer;
	uint8_t state[128];
	struct item_counts counts;
	size_t len;

	for (len = 0; len <= sizeof(bits); len++) {
		loom_pack_init(&packer, state, sizeof(state));
		handover_state_begin(&packer);
		loom_pack_u64(&packer, HANDOVER_ITEM_WINDOW);
		loom_pack_u64(&packer, 2);
		loom_pack_u64(&packer, 3);
		loom_pack_u64(&packer, 9);
		loom_pack_bin(&packer, bits, len);
		handover_state_end(&packer);
		TEST_CHECK(read_state(state, packer.len, &counts) == (len == 3),
		    "%zu bytes", len);
	}
}

static void
test_mutated(void)
{
	struct loom_random random = test_random_new(3);
	static struct handover_successor heir;
	uint8_t state[1024], message[HANDOVER_MESSAGE_MAX], *copy;
	size_t len = pack_sample(state, sizeof(state)), heir_len;
	unsigned i, partial_reads = 0;
	struct item_counts counts;

	heir.count = 3;
	heir_len = handover_successor_pack(&heir, message);
	for (i = 0; i < 20000; i++) {
		copy = g_memdup2(state, len);
		copy[loom_random_below(&random, len)] =
		    (uint8_t)random.next(random.arg);
		partial_reads += !read_state(copy, len, &counts) &&
		    counts.issuers + counts.windows + counts.kept != 0;
		g_free(copy);
		copy = g_memdup2(message, heir_len);
		copy[loom_random_below(&random, heir_len)] =
		    (uint8_t)random.next(random.arg);
		handover_successor_unpack(copy, heir_len, &heir);
		CU_ASSERT_TRUE(heir.count <= HANDOVER_INCARNATIONS_MAX);
		g_free(copy);
	}
	CU_ASSERT_EQUAL(partial_reads, 0);
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "chunk", test_chunk },
	{ "state", test_state },
	{ "short window", test_short_window },
	{ "mutated", test_mutated },
};

TEST_MAIN("hand-over codec", tests)
