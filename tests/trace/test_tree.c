/*
 * Trees of spans: which lines are accepted, and how a tree is drawn.
 */

#include <glib/gstdio.h>
#include <string.h>

#include "support/test.h"
#include "trace/export.h"
#include "trace/tree.h"

#define TRACE_A "0af7651916cd43dd8448eb211c80319c"
#define TRACE_B "1bf7651916cd43dd8448eb211c80319c"

/* Formats a span as OTLP JSON; parent is "" for a root.  Owned. */
static char *
span(const char *trace, const char *id, const char *parent, const char *name,
    unsigned start_ms, unsigned end_ms)
{
	return g_strdup_printf(
	    "{\"traceId\":\"%s\",\"spanId\":\"%s\",\"parentSpanId\":\"%s\","
	    "\"name\":\"%s\",\"startTimeUnixNano\":\"%u000000\","
	    "\"endTimeUnixNano\":\"%u000000\",\"attributes\":["
	    "{\"key\":\"loom.kind\",\"value\":{\"stringValue\":\"entry\"}},"
	    "{\"key\":\"loom.host\",\"value\":{\"stringValue\":\"h\"}},"
	    "{\"key\":\"loom.queue_us\",\"value\":{\"intValue\":\"1500\"}},"
	    "{\"key\":\"loom.leg_us\",\"value\":{\"intValue\":\"2500\"}},"
	    "{\"key\":\"http.response.status_code\","
	    "\"value\":{\"intValue\":\"200\"}}]}",
	    trace, id, parent, name, start_ms, end_ms);
}

static void
test_lines(void)
{
	char *one = span(TRACE_A, "1", "", "r", 0, 1);
	char *logged =
	    g_strdup_printf("{\"level\":\"info\",\"span\":%s}\n", one);
	char *export = g_strdup_printf(
	    "{\"resourceSpans\":[{\"scopeSpans\":[{\"spans\":[%s,%s]},"
	    "{\"spans\":[%s]}]},{}]}",
	    one, one, one);
	const struct {
		const char *line;
		guint expected;
	} cases[] = {
		{ one, 1 },
		{ logged, 1 },
		{ export, 3 },
		{ "", 0 },
		{ "listening on 8000\n", 0 },
		{ "{\"level\":\"info\",\"msg\":\"serving\"}", 0 },
		{ "{\"span\":null}", 0 },
		{ "{\"span\":[]}", 0 },
		{ "{\"span\":{\"traceId\":\"a\"}}", 0 },
		{ "{\"span\":{\"traceId\":\"a\",\"spanId\":\"1\"}}", 1 },
		{ "{\"resourceSpans\":{}}", 0 },
		{ "{\"span\":{\"traceId\":\"a\"", 0 },
	};
	struct span_tree *tree;
	guint i, taken;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		tree = span_tree_new();
		taken = span_tree_add_line(tree, cases[i].line);
		TEST_CHECK(taken == cases[i].expected, "case %u: %u", i, taken);
		span_tree_free(tree);
	}
	g_free(export);
	g_free(logged);
	g_free(one);
}

/* expected lists the names of the spans in the order drawn, each preceded by
 * one dot for each level below the root. */
static void
test_tree_shapes(void)
{
	static const struct {
		const char *name;
		struct {
			const char *id, *parent, *name;
			unsigned start_ms;
		} spans[5];
		const char *expected;
	} cases[] = {
		{ "child logged before its parent",
		    { { "2", "1", "b", 1 }, { "1", "", "a", 0 } }, "a .b" },
		{ "siblings by their start",
		    { { "1", "", "a", 0 }, { "3", "1", "c", 2 },
			{ "2", "1", "b", 1 } },
		    "a .b .c" },
		{ "three deep",
		    { { "3", "2", "c", 2 }, { "2", "1", "b", 1 },
			{ "1", "", "a", 0 } },
		    "a .b ..c" },
		{ "the caller's own span is not here",
		    { { "2", "1", "b", 1 }, { "1", "99", "a", 0 } }, "a .b" },
		{ "a hop's log is missing",
		    { { "1", "", "a", 0 }, { "3", "2", "c", 2 } }, "a c" },
		{ "nothing", { { NULL, NULL, NULL, 0 } }, "" },
	};
	struct span_tree *tree;
	GString *shape;
	char **lines, **line;
	char *text;
	guint i, j, depth;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		tree = span_tree_new();
		for (j = 0; j < 5 && cases[i].spans[j].id != NULL; j++) {
			text = span(TRACE_A, cases[i].spans[j].id,
			    cases[i].spans[j].parent, cases[i].spans[j].name,
			    cases[i].spans[j].start_ms, 9);
			span_tree_add_line(tree, text);
			g_free(text);
		}
		text = span_tree_draw(tree, TRACE_A);
		lines = g_strsplit(text, "\n", -1);
		shape = g_string_new(NULL);
		for (line = lines + 1; **line != '\0'; line++) {
			depth = (guint)strspn(*line, " ") / 2;
			g_string_append_printf(
			    shape, "%s", shape->len > 0 ? " " : "");
			for (j = 0; j < depth; j++)
				g_string_append_c(shape, '.');
			g_string_append_c(shape, (*line)[2 * depth]);
		}
		TEST_CHECK(strcmp(shape->str, cases[i].expected) == 0, "%s: %s",
		    cases[i].name, shape->str);
		g_string_free(shape, TRUE);
		g_strfreev(lines);
		g_free(text);
		span_tree_free(tree);
	}
}

/* Two spans of a malformed log name each other as parent: drawing must not
 * recurse without end. */
static void
test_parent_cycle(void)
{
	struct span_tree *tree = span_tree_new();
	char *one = span(TRACE_A, "1", "2", "a", 0, 1);
	char *two = span(TRACE_A, "2", "1", "b", 0, 1);
	char *text;

	span_tree_add_line(tree, one);
	span_tree_add_line(tree, two);
	text = span_tree_draw(tree, TRACE_A);
	TEST_CHECK(g_str_has_prefix(text, "trace " TRACE_A "\n"), "%s", text);
	g_free(text);
	g_free(two);
	g_free(one);
	span_tree_free(tree);
}

static void
test_trace_ids(void)
{
	struct span_tree *tree = span_tree_new();
	char *lines[] = {
		span(TRACE_A, "1", "", "a", 0, 1),
		span(TRACE_B, "1", "", "b", 0, 1),
		span(TRACE_A, "2", "1", "c", 0, 1),
	};
	GPtrArray *traces;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		span_tree_add_line(tree, lines[i]);
		g_free(lines[i]);
	}
	traces = span_tree_traces(tree);
	TEST_CHECK(traces->len == 2 &&
		strcmp(g_ptr_array_index(traces, 0), TRACE_A) == 0 &&
		strcmp(g_ptr_array_index(traces, 1), TRACE_B) == 0,
	    "%u traces", traces->len);
	g_ptr_array_free(traces, TRUE);
	span_tree_free(tree);
}

/* The tree reads spans as the daemon encodes them. */
static void
test_round_trip(void)
{
	static const struct loom_self self = {
		.host = "orders-1",
		.service = "orders",
	};
	static const struct {
		uint16_t status;
		enum loom_result code;
		enum loom_outcome outcome;
		const char *expected;
	} cases[] = {
		{ 200, LOOM_OK, LOOM_OUTCOME_NONE, "  200\n" },
		{ 0, LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN,
		    "code 2101 not-run\n" },
	};
	const struct span_details facts = { .name = "order.create",
		.team = "crew",
		.kind = SPAN_EXECUTOR,
		.end_us = 5250 };
	struct span_tree *tree;
	struct json_object *object;
	struct span span;
	char trace_id[33];
	char *text;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		span_begin(&span, "00-" TRACE_A "-b7ad6b7169203331-01", 0);
		span.queue_us = 250;
		span.leg_us = 4000;
		span.status = cases[i].status;
		span.code = cases[i].code;
		span.outcome = cases[i].outcome;
		span_trace_id_text(&span, trace_id);
		object = span_json(&span, &facts, &self);
		tree = span_tree_new();
		span_tree_add_line(tree, json_object_to_json_string(object));
		text = span_tree_draw(tree, trace_id);
		TEST_CHECK(
		    strstr(text, "order.create executor orders-1 ") != NULL &&
			strstr(text,
			    " 5.250 ms  queue    0.250  leg     "
			    "4.000") != NULL &&
			g_str_has_suffix(text, cases[i].expected),
		    "%s", text);
		g_free(text);
		span_tree_free(tree);
		json_object_put(object);
	}
}

/* Runs loom-trace; returns its output, owned, and its wait status. */
static char *
run_loom_trace(const char *const *args, int *status)
{
	const char *bin = g_getenv("LOOM_BIN");
	GPtrArray *argv = g_ptr_array_new();
	char *path = g_build_filename(
	    bin != NULL ? bin : "build/bin", "loom-trace", NULL);
	char *out = NULL;

	g_ptr_array_add(argv, path);
	for (; *args != NULL; args++)
		g_ptr_array_add(argv, (gpointer)*args);
	g_ptr_array_add(argv, NULL);
	TEST_CHECK(g_spawn_sync(NULL, (char **)argv->pdata, NULL,
		       G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, &out, NULL,
		       status, NULL),
	    "%s", path);
	g_ptr_array_free(argv, TRUE);
	g_free(path);
	return out != NULL ? out : g_strdup("");
}

static void
test_loom_trace(void)
{
	char *dir = g_dir_make_tmp("loom-trace-XXXXXX", NULL);
	char *file = g_build_filename(dir, "log", NULL);
	char *one = span(TRACE_A, "1", "", "a", 0, 1);
	char *two = span(TRACE_B, "1", "", "b", 0, 1);
	char *text = g_strconcat("no span\n", one, "\n", two, "\n", NULL);
	const struct {
		const char *args[4];
		bool ok;
		const char *with, *without;
	} cases[] = {
		{ { file }, true, TRACE_A, "none" },
		{ { file }, true, TRACE_B, "none" },
		{ { "--trace", TRACE_B, file }, true, TRACE_B, TRACE_A },
		{ { "--trace", "ff", file }, false, "", "trace" },
		{ { "/nonexistent" }, false, "", "trace" },
	};
	int status;
	char *out;
	guint i;

	g_file_set_contents(file, text, -1, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		out = run_loom_trace(cases[i].args, &status);
		TEST_CHECK((status == 0) == cases[i].ok &&
			strstr(out, cases[i].with) != NULL &&
			strstr(out, cases[i].without) == NULL,
		    "case %u: %d %s", i, status, out);
		g_free(out);
	}
	g_unlink(file);
	g_rmdir(dir);
	g_free(text);
	g_free(two);
	g_free(one);
	g_free(file);
	g_free(dir);
}

static const struct test_case tests[] = {
	{ "accepted lines", test_lines },
	{ "tree shapes", test_tree_shapes },
	{ "parent cycle", test_parent_cycle },
	{ "trace ids", test_trace_ids },
	{ "spans encoded by the daemon", test_round_trip },
	{ "loom-trace", test_loom_trace },
};

TEST_MAIN("trace tree", tests)
