/*
 * The examples of docs/CALLERS.md, run by a shell as they stand there.
 */

#include <json-c/json.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define PAGE "docs/CALLERS.md"
#define KEY "k-guide-caller"
#define PORT_CALLERS 7000

enum example {
	EXAMPLE_READ,
	EXAMPLE_TICKETS,
	EXAMPLE_ORDER,
	EXAMPLES,
};

static const struct testbed_service services[] = {
	{ .name = "orders", .hosts = 2, .slots = 16 },
	{ .name = "rounds", .hosts = 2, .slots = 16 },
};

struct guide {
	struct testbed testbed;
	GPtrArray *examples; /* owned: each a whole command */
	uint32_t host; /* whose daemon is asked */
};

static char *
document(void)
{
	return g_strdup_printf(
	    "{ \"document\": \"test\", \"version\": 1,\n"
	    "\"teams\": [ { \"name\": \"crew\", \"rate_per_s\": 1000,\n"
	    "  \"burst\": 1000, \"keys\": [ { \"id\": \"a\",\n"
	    "  \"sha256\": \"%s\" } ] } ],\n"
	    "\"services\": [ { \"name\": \"orders\", \"slots\": 16 },\n"
	    "  { \"name\": \"rounds\", \"slots\": 16 } ],\n"
	    "\"routes\": [\n"
	    " { \"name\": \"order.create\", \"service\": \"orders\",\n"
	    "   \"method\": \"POST\", \"path\": \"/orders\",\n"
	    "   \"idempotent\": false },\n"
	    " { \"name\": \"round.read\", \"service\": \"rounds\",\n"
	    "   \"method\": \"GET\", \"path\": \"/rounds/*\" } ] }",
	    testbed_key_digest(KEY));
}

/* All indented commands that begin with curl, with their further lines. */
static GPtrArray *
read_examples(void)
{
	GPtrArray *examples = g_ptr_array_new_with_free_func(g_free);
	GString *command = NULL;
	char *text = NULL;
	char **lines, **line;

	if (!TEST_CHECK(g_file_get_contents(PAGE, &text, NULL, NULL), PAGE))
		return examples;
	lines = g_strsplit(text, "\n", -1);
	for (line = lines; *line != NULL; line++) {
		if (command == NULL && g_str_has_prefix(*line, "    curl "))
			command = g_string_new(NULL);
		if (command == NULL)
			continue;
		g_string_append_printf(command, "%s\n", *line);
		if (g_str_has_suffix(*line, "\\"))
			continue;
		g_ptr_array_add(examples, g_string_free(command, FALSE));
		command = NULL;
	}
	g_strfreev(lines);
	g_free(text);
	return examples;
}

/* What an example prints; ticket may be NULL.  Owned. */
static char *
run_example(struct guide *guide, enum example example, const char *ticket)
{
	const char *command = g_ptr_array_index(guide->examples, example);
	char *argv[] = { (char *)"/bin/sh", (char *)"-c", (char *)command,
		NULL };
	char **env = g_get_environ();
	char *entry = g_strdup_printf(
	    "http://%s:%d", guide->testbed.hosts[guide->host].ip, PORT_CALLERS);
	char *out = NULL;

	env = g_environ_setenv(env, "LOOM", entry, TRUE);
	env = g_environ_setenv(env, "KEY", KEY, TRUE);
	env = g_environ_setenv(env, "TICKET", ticket != NULL ? ticket : "", 1);
	TEST_CHECK(g_spawn_sync(NULL, argv, env, G_SPAWN_STDERR_TO_DEV_NULL,
		       NULL, NULL, &out, NULL, NULL, NULL),
	    "%s", command);
	g_strfreev(env);
	g_free(entry);
	return out != NULL ? out : g_strdup("");
}

/* A new fleet refuses every team for some seconds. */
static bool
reads(void *arg)
{
	struct guide *guide = arg;
	char *out = run_example(guide, EXAMPLE_READ, NULL);
	bool ok = g_str_has_prefix(out, "rounds ");

	g_free(out);
	return ok;
}

static bool
start(struct guide *guide)
{
	char *text = document();
	bool ok;

	memset(guide, 0, sizeof(*guide));
	guide->examples = read_examples();
	ok = testbed_start(&guide->testbed, services, 2, 1, text);
	g_free(text);
	return TEST_CHECK(ok, "start") &&
	    TEST_CHECK(guide->examples->len == EXAMPLES, "%u examples",
		guide->examples->len) &&
	    TEST_CHECK(testbed_wait_condition(reads, guide), "no answer");
}

static void
stop(struct guide *guide)
{
	testbed_stop(&guide->testbed);
	g_ptr_array_free(guide->examples, TRUE);
}

/* The tickets that an example printed; owned array of owned strings. */
static char **
tickets_of(const char *out)
{
	struct json_object *object = json_tokener_parse(out);
	struct json_object *list = NULL;
	GPtrArray *tickets = g_ptr_array_new();
	size_t i;

	if (json_object_object_get_ex(object, "tickets", &list)) {
		for (i = 0; i < json_object_array_length(list); i++)
			g_ptr_array_add(tickets,
			    g_strdup(json_object_get_string(
				json_object_array_get_idx(list, i))));
	}
	json_object_put(object);
	g_ptr_array_add(tickets, NULL);
	return (char **)g_ptr_array_free(tickets, FALSE);
}

/* The guide's order: take two tickets, send with one of them, and send the
 * very same once more through each daemon. */
static void
test_order(void)
{
	struct guide guide;
	char *out, *first = NULL;
	char **tickets = NULL;

	if (!start(&guide))
		goto out;
	out = run_example(&guide, EXAMPLE_TICKETS, NULL);
	tickets = tickets_of(out);
	TEST_CHECK(g_strv_length(tickets) == 2, "%s", out);
	g_free(out);
	if (tickets[0] == NULL)
		goto out;
	first = run_example(&guide, EXAMPLE_ORDER, tickets[0]);
	TEST_CHECK(g_str_has_prefix(first, "orders "), "%s", first);
	for (; guide.host < guide.testbed.nhosts; guide.host++) {
		out = run_example(&guide, EXAMPLE_ORDER, tickets[0]);
		TEST_CHECK(
		    strcmp(out, first) == 0, "host %u: %s", guide.host, out);
		g_free(out);
	}
	TEST_CHECK(
	    testbed_ledger_count(&guide.testbed, "orders", "start", NULL) == 1,
	    "ran more than once");
out:
	g_strfreev(tickets);
	g_free(first);
	stop(&guide);
}

/* Without a ticket nothing runs, and the refusal says so as the guide has it,
 * with a ticket to go on with. */
static void
test_no_ticket(void)
{
	struct json_object *refusal, *code = NULL, *outcome = NULL;
	struct json_object *ticket = NULL;
	struct guide guide;
	char *out, *answer;

	if (!start(&guide))
		goto out;
	out = run_example(&guide, EXAMPLE_ORDER, NULL);
	refusal = json_tokener_parse(out);
	json_object_object_get_ex(refusal, "code", &code);
	json_object_object_get_ex(refusal, "outcome", &outcome);
	json_object_object_get_ex(refusal, "ticket", &ticket);
	TEST_CHECK(json_object_get_int(code) == LOOM_TICKET_NEEDED, "%s", out);
	TEST_CHECK(g_strcmp0(json_object_get_string(outcome), "not-run") == 0,
	    "%s", out);
	TEST_CHECK(
	    testbed_ledger_count(&guide.testbed, "orders", "start", NULL) == 0,
	    "it ran");
	answer =
	    run_example(&guide, EXAMPLE_ORDER, json_object_get_string(ticket));
	TEST_CHECK(g_str_has_prefix(answer, "orders "), "%s", answer);
	json_object_put(refusal);
	g_free(answer);
	g_free(out);
out:
	stop(&guide);
}

static const struct test_case tests[] = {
	{ "an order by the guide", test_order },
	{ "an order without a ticket", test_no_ticket },
};

TEST_MAIN("callers' guide", tests)
