/*
 * Payloads and envelopes: encoded values are decoded unchanged, and no input
 * from a peer makes the decoders crash, allocate memory or accept values out of
 * bounds.
 */

#include <math.h>
#include <string.h>

#include "loom/inner.h"
#include "support/test.h"

static void
test_round_trip(void)
{
	static const uint64_t numbers[] = { 0, 1, 127, 128, 65536, UINT32_MAX,
		UINT64_MAX };
	static const int64_t signed_numbers[] = { 0, -1, -32, -33, 5, INT32_MIN,
		INT64_MIN, INT64_MAX };
	struct loom_unpacker u;
	struct loom_packer p;
	uint8_t buf[512], bin[3];
	char text[8];
	size_t i;

	loom_pack_init(&p, buf, sizeof(buf));
	for (i = 0; i < G_N_ELEMENTS(numbers); i++)
		loom_pack_u64(&p, numbers[i]);
	for (i = 0; i < G_N_ELEMENTS(signed_numbers); i++)
		loom_pack_i64(&p, signed_numbers[i]);
	loom_pack_bool(&p, true);
	loom_pack_bool(&p, false);
	loom_pack_double(&p, -2.5);
	loom_pack_bin(&p, "a\0b", 3);
	loom_pack_bin(&p, NULL, 0);
	loom_pack_str(&p, "orders");
	CU_ASSERT(loom_pack_ok(&p));
	loom_unpack_init(&u, buf, p.len);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++)
		TEST_CHECK(loom_unpack_u64(&u, UINT64_MAX) == numbers[i],
		    "number %zu", i);
	for (i = 0; i < G_N_ELEMENTS(signed_numbers); i++)
		TEST_CHECK(loom_unpack_i64(&u, INT64_MIN, INT64_MAX) ==
			signed_numbers[i],
		    "signed %zu", i);
	CU_ASSERT(loom_unpack_bool(&u));
	CU_ASSERT(!loom_unpack_bool(&u));
	CU_ASSERT_EQUAL(loom_unpack_double(&u, -10, 10), -2.5);
	loom_unpack_bin_exact(&u, bin, sizeof(bin));
	CU_ASSERT_EQUAL(memcmp(bin, "a\0b", 3), 0);
	loom_unpack_bin_exact(&u, NULL, 0);
	loom_unpack_str(&u, text, sizeof(text));
	CU_ASSERT_STRING_EQUAL(text, "orders");
	CU_ASSERT(loom_unpack_end(&u));
}

static void
test_pack_overflow(void)
{
	struct loom_packer p;
	uint8_t buf[8];

	loom_pack_init(&p, buf, sizeof(buf));
	loom_pack_u64(&p, UINT64_MAX);
	CU_ASSERT(!loom_pack_ok(&p));
	loom_pack_init(&p, buf, sizeof(buf));
	loom_pack_bin(&p, buf, 7);
	loom_pack_u64(&p, 1);
	CU_ASSERT(!loom_pack_ok(&p));
	CU_ASSERT(p.len <= sizeof(buf));
}

enum value_type {
	READ_U64,
	READ_I64,
	READ_BOOL,
	READ_DOUBLE,
	READ_BIN,
	READ_STR,
	READ_COUNT,
	READ_TYPE_COUNT,
};

static void
read_one(struct loom_unpacker *u, enum value_type type)
{
	char text[8];
	size_t len;

	switch (type) {
	case READ_U64:
		loom_unpack_u64(u, 1000);
		break;
	case READ_I64:
		loom_unpack_i64(u, -1000, 1000);
		break;
	case READ_BOOL:
		loom_unpack_bool(u);
		break;
	case READ_DOUBLE:
		loom_unpack_double(u, -1000, 1000);
		break;
	case READ_BIN:
		loom_unpack_bin(u, 4, &len);
		break;
	case READ_STR:
		loom_unpack_str(u, text, sizeof(text));
		break;
	default:
		loom_unpack_count(u, 1000);
		break;
	}
}

#define BYTES(text) .data = (const uint8_t *)(text), .len = sizeof(text) - 1

static void
test_bad_input(void)
{
	static const struct {
		const char *name;
		enum value_type type;
		enum loom_result error;
		const uint8_t *data;
		size_t len;
	} cases[] = {
		{ "empty", READ_U64, LOOM_INNER_TRUNCATED, NULL, 0 },
		{ "empty signed", READ_I64, LOOM_INNER_TRUNCATED, NULL, 0 },
		{ "cut number", READ_U64, LOOM_INNER_TRUNCATED,
		    BYTES("\xcd\x01") },
		{ "over max", READ_U64, LOOM_INNER_MALFORMED,
		    BYTES("\xcd\x03\xe9") },
		{ "negative", READ_U64, LOOM_INNER_MALFORMED, BYTES("\xff") },
		{ "under min", READ_I64, LOOM_INNER_MALFORMED,
		    BYTES("\xd1\x80\x00") },
		{ "over signed", READ_I64, LOOM_INNER_MALFORMED,
		    BYTES("\xcf\xff\xff\xff\xff\xff\xff\xff\xff") },
		{ "nil", READ_BOOL, LOOM_INNER_MALFORMED, BYTES("\xc0") },
		{ "unassigned type", READ_BOOL, LOOM_INNER_MALFORMED,
		    BYTES("\xc1") },
		{ "nan", READ_DOUBLE, LOOM_INNER_MALFORMED,
		    BYTES("\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00") },
		{ "infinite", READ_DOUBLE, LOOM_INNER_MALFORMED,
		    BYTES("\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00") },
		{ "array of 4G", READ_U64, LOOM_INNER_MALFORMED,
		    BYTES("\xdd\xff\xff\xff\xff") },
		{ "map of 4G", READ_BIN, LOOM_INNER_MALFORMED,
		    BYTES("\xdf\xff\xff\xff\xff") },
		{ "ext", READ_BIN, LOOM_INNER_MALFORMED,
		    BYTES("\xc7\x01\x01\x01") },
		{ "bin of 4G", READ_BIN, LOOM_INNER_TRUNCATED,
		    BYTES("\xc6\xff\xff\xff\xff\x01") },
		{ "bin over max", READ_BIN, LOOM_INNER_MALFORMED,
		    BYTES("\xc4\x05\x01\x02\x03\x04\x05") },
		{ "str for bin", READ_BIN, LOOM_INNER_MALFORMED,
		    BYTES("\xa1\x78") },
		{ "str too long", READ_STR, LOOM_INNER_MALFORMED,
		    BYTES("\xa8\x31\x32\x33\x34\x35\x36\x37\x38") },
		{ "str with NUL", READ_STR, LOOM_INNER_MALFORMED,
		    BYTES("\xa2\x78\x00") },
		{ "count over bytes left", READ_COUNT, LOOM_INNER_TRUNCATED,
		    BYTES("\x05\x01\x01\x01") },
		{ "trailing byte", READ_U64, LOOM_INNER_MALFORMED,
		    BYTES("\x01\x01") },
	};
	struct loom_unpacker u;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		loom_unpack_init(&u, cases[i].data, cases[i].len);
		read_one(&u, cases[i].type);
		TEST_CHECK(!loom_unpack_end(&u), "%s", cases[i].name);
		TEST_CHECK(loom_unpack_error(&u) == cases[i].error, "%s: %d",
		    cases[i].name, (int)loom_unpack_error(&u));
	}
}

static struct loom_message
sample_message(void)
{
	return (struct loom_message){
		.from = { .host_id = 7, .incarnation = UINT64_MAX },
		.sequence = 9,
		.control = "127.0.0.1:7201",
		.type = 20,
		.payload = (const uint8_t *)"payload",
		.len = 7,
	};
}

static void
test_envelope(void)
{
	struct loom_message in = sample_message(), out;
	uint8_t buf[256], modified[256];
	enum loom_result result;
	size_t i, len;

	len = loom_message_pack(&in, buf, sizeof(buf));
	CU_ASSERT_FATAL(len > 0);
	CU_ASSERT_EQUAL(loom_message_unpack(buf, len, &out), LOOM_OK);
	CU_ASSERT_EQUAL(out.from.incarnation, UINT64_MAX);
	CU_ASSERT_EQUAL(out.sequence, 9);
	CU_ASSERT_EQUAL(out.type, 20);
	CU_ASSERT_STRING_EQUAL(out.control, in.control);
	CU_ASSERT_EQUAL(memcmp(out.payload, "payload", 7), 0);
	for (i = 0; i < len; i++) {
		result = loom_message_unpack(buf, i, &out);
		TEST_CHECK(result == LOOM_INNER_TRUNCATED, "cut at %zu: %d", i,
		    (int)result);
	}
	memcpy(modified, buf, len);
	modified[len] = 0;
	CU_ASSERT_EQUAL(
	    loom_message_unpack(modified, len + 1, &out), LOOM_INNER_MALFORMED);
	modified[0] = 2;
	CU_ASSERT_EQUAL(
	    loom_message_unpack(modified, len, &out), LOOM_INNER_VERSION);
	CU_ASSERT_EQUAL(
	    loom_message_unpack(
		buf, LOOM_PAYLOAD_MAX + LOOM_MESSAGE_HEADER_MAX + 1, &out),
	    LOOM_INNER_OVERSIZED);
	in.type = LOOM_MESSAGE_TYPES;
	len = loom_message_pack(&in, buf, sizeof(buf));
	CU_ASSERT_EQUAL(
	    loom_message_unpack(buf, len, &out), LOOM_INNER_MALFORMED);
	CU_ASSERT_EQUAL(loom_message_pack(&in, buf, 20), 0);
}

/*
 * Random bytes, and valid messages with a few bytes changed. The decoders must
 * not read out of bounds or return pointers outside the message.
 */
static void
test_random_bytes(void)
{
	struct loom_random random = test_random_new(42);
	struct loom_message valid = sample_message(), out;
	struct loom_unpacker u;
	uint8_t buf[128];
	size_t i, j, len;

	for (i = 0; i < 200000; i++) {
		len = loom_random_below(&random, sizeof(buf));
		if (i % 2 == 0)
			len = loom_message_pack(&valid, buf, sizeof(buf));
		for (j = 0; j < (i % 2 == 0 ? 3 : len); j++)
			buf[loom_random_below(&random, sizeof(buf))] =
			    (uint8_t)random.next(random.arg);
		if (loom_message_unpack(buf, len, &out) == LOOM_OK) {
			CU_ASSERT_FATAL(out.payload >= buf);
			CU_ASSERT_FATAL(out.payload + out.len <= buf + len);
			CU_ASSERT_FATAL(out.type < LOOM_MESSAGE_TYPES);
		}
		loom_unpack_init(&u, buf, len);
		while (loom_unpack_error(&u) == LOOM_OK)
			read_one(&u,
			    (enum value_type)loom_random_below(
				&random, READ_TYPE_COUNT));
		CU_ASSERT_FATAL(u.offset <= u.len);
	}
	test_random_free(&random);
}

/*
 * An attacker resends a captured message, immediately or later. Without the
 * replay window, a component would process it twice. A message that is merely
 * late must still be accepted once.
 */
static void
test_replay(void)
{
	static const struct {
		uint64_t incarnation;
		uint64_t sequence;
		bool is_new;
	} steps[] = {
		{ 1, 10, true },
		{ 1, 10, false },
		{ 1, 12, true },
		{ 1, 11, true },
		{ 1, 11, false },
		{ 2, 11, true },
		{ 1, 12 + 63, true },
		{ 1, 12, false },
		{ 1, 13, true },
		{ 1, 11, false },
		{ 1, 100000, true },
		{ 1, 100000 - 63, true },
		{ 1, 100000 - 64, false },
		{ 1, UINT64_MAX, true },
		{ 1, UINT64_MAX, false },
		{ 2, 12, true },
	};
	struct loom_replay_window *replay_window = loom_replay_window_new(NULL);
	struct loom_message_source from = { .host_id = 5 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		from.incarnation = steps[i].incarnation;
		TEST_CHECK(loom_replay_window_accept(replay_window, &from,
			       steps[i].sequence, i) == steps[i].is_new,
		    "step %zu", i);
	}
	talloc_free(replay_window);
}

/*
 * New incarnations of senders keep appearing. The memory used to track them
 * must stay bounded.
 */
static void
test_replay_bounded(void)
{
	struct loom_replay_window *replay_window = loom_replay_window_new(NULL);
	struct loom_message_source from = { .host_id = 5 };
	bool refused = false;
	uint64_t i;

	for (i = 0; i < 40000; i++) {
		from.incarnation = i;
		refused |=
		    !loom_replay_window_accept(replay_window, &from, 1, 1);
	}
	CU_ASSERT(refused);
	CU_ASSERT(loom_replay_window_accept(
	    replay_window, &from, 1, 61 * LOOM_US_PER_S));
	talloc_free(replay_window);
}

static const struct test_case tests[] = {
	{ "round trip", test_round_trip },
	{ "pack overflow", test_pack_overflow },
	{ "bad input", test_bad_input },
	{ "envelope", test_envelope },
	{ "random bytes", test_random_bytes },
	{ "replay", test_replay },
	{ "replay bounded", test_replay_bounded },
};

TEST_MAIN("codec", tests)
