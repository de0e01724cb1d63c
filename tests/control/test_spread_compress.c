/*
 * Compression of values: what is sent arrives whole, and what is damaged or
 * claims another length is refused.
 */

#include <string.h>

#include "control/spread_compress.h"
#include "loom/clock.h"
#include "support/test.h"

static char *
random_text(size_t len)
{
	char *text = g_malloc(len + 1);
	size_t i;

	for (i = 0; i < len; i++)
		text[i] = (char)(' ' +
		    loom_random_below(&loom_random_system, i % 3 ? 4 : 90));
	text[len] = '\0';
	return text;
}

static void
test_round_trip(void)
{
	static const size_t cases[] = { 0, 1, 16 * 1024, 3 * 1024 * 1024 };
	char *text, *data, *back;
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = random_text(cases[i]);
		data = spread_compress(text, cases[i], &len);
		CU_ASSERT_PTR_NOT_NULL_FATAL(data);
		back = spread_decompress(data, len, cases[i]);
		TEST_CHECK(back != NULL && strcmp(back, text) == 0, "%zu bytes",
		    cases[i]);
		g_free(back);
		g_free(data);
		g_free(text);
	}
}

/* Guards against a value that is taken although its message is damaged or
 * tells another length. */
static void
test_refused(void)
{
	const size_t text_len = 20000;
	char *text = random_text(text_len), *data;
	size_t len;

	data = spread_compress(text, text_len, &len);
	CU_ASSERT_PTR_NULL(spread_decompress(data, len, text_len - 1));
	CU_ASSERT_PTR_NULL(spread_decompress(data, len, text_len + 1));
	CU_ASSERT_PTR_NULL(spread_decompress(data, len - 1, text_len));
	CU_ASSERT_PTR_NULL(spread_decompress(data, 0, text_len));
	data[len / 2] ^= 1;
	CU_ASSERT_PTR_NULL(spread_decompress(data, len, text_len));
	g_free(data);
	g_free(text);
}

static const struct test_case tests[] = {
	{ "round trip", test_round_trip },
	{ "refused", test_refused },
};

TEST_MAIN("compression of values", tests)
