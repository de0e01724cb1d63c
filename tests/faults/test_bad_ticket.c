/*
 * A caller sends a ticket that is none.
 */

#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define KEY "k-bad-ticket"

static const struct testbed_service services[] = {
	{ .name = "orders", .hosts = 2, .slots = 16 },
};

static char *
document(void)
{
	return g_strdup_printf(
	    "{ \"document\": \"test\", \"version\": 1,\n"
	    "\"teams\": [ { \"name\": \"crew\", \"rate_per_s\": 1000,\n"
	    "  \"burst\": 1000, \"keys\": [ { \"id\": \"a\",\n"
	    "  \"sha256\": \"%s\" } ] } ],\n"
	    "\"services\": [ { \"name\": \"orders\", \"slots\": 16 } ],\n"
	    "\"routes\": [\n"
	    " { \"name\": \"order.create\", \"service\": \"orders\",\n"
	    "   \"method\": \"POST\", \"path\": \"/orders\",\n"
	    "   \"idempotent\": false } ] }",
	    testbed_key_digest(KEY));
}

/*
 * The caller's store has cut its ticket short.  It was never good, so no
 * request ever ran by it, and docs/RESULTS.md and docs/CALLERS.md say not-run:
 * the caller takes a fresh ticket.  Told unknown it would, by the guide, send
 * the same ticket again for ever, and its order would not be placed.
 */
static void
test_malformed(void)
{
	static const char *const tickets[] = { "AbC", "not a ticket!", "=" };
	const struct loom_result_info *info =
	    loom_result_info(LOOM_TICKET_INVALID);
	struct testbed_reply reply;
	struct testbed testbed;
	char *text = document();
	const char *headers[3] = { "Loom-Key: " KEY, NULL, NULL };
	char *line;
	uint32_t i;

	if (!TEST_CHECK(testbed_start(&testbed, services, 1, 1, text), "start"))
		goto out;
	for (i = 0; i < G_N_ELEMENTS(tickets); i++) {
		line = g_strconcat("Loom-Ticket: ", tickets[i], NULL);
		headers[1] = line;
		testbed_call(
		    &testbed, 0, "POST", "/orders", headers, "{}", 2, &reply);
		TEST_CHECK(reply.code == LOOM_TICKET_INVALID &&
			strcmp(reply.outcome,
			    loom_outcome_name(info->outcome)) == 0,
		    "%s: %s", tickets[i], reply.body);
		testbed_reply_clear(&reply);
		g_free(line);
	}
out:
	testbed_stop(&testbed);
	g_free(text);
}

static const struct test_case tests[] = {
	{ "malformed tickets", test_malformed },
};

TEST_MAIN("bad ticket", tests)
