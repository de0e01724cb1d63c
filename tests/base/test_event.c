/*
 * Tests of the event log: the form of a line, the bound on lines a second, and
 * a reader that has stopped.
 */

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "loom/clock.h"
#include "loom/event.h"
#include "loom/log.h"
#include "support/test.h"

#define LINE_MAX_BYTES 65536

static int pipe_fds[2];

static void
open_pipe(void)
{
	CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	loom_log_set_fd(pipe_fds[1]);
}

static void
close_pipe(void)
{
	loom_log_set_fd(STDERR_FILENO);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

static void
test_line(void)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("id", "a\"b\n{\"event\":\"forged\"}"),
		LOOM_F_TEXT("none", NULL),
		LOOM_F_INT("age_ms", 12),
		LOOM_F_REAL("share", 0.5),
		LOOM_F_BOOL("inner", true),
		LOOM_F_END,
	};
	char line[LINE_MAX_BYTES] = "";

	open_pipe();
	loom_event_write(LOOM_EVENT_CALL, fields);
	CU_ASSERT(read(pipe_fds[0], line, sizeof(line) - 1) > 0);
	TEST_CHECK(strchr(line, '\n') == line + strlen(line) - 1, "%s", line);
	TEST_CHECK(strstr(line, "\"event\":\"call\"") != NULL, "%s", line);
	TEST_CHECK(
	    strstr(line, "\"age_ms\":12,\"share\":0.5,\"inner\":true") != NULL,
	    "%s", line);
	TEST_CHECK(strstr(line, "none") == NULL, "%s", line);
	close_pipe();
}

static uint32_t
count_admitted(uint64_t second, uint32_t offered)
{
	uint32_t n = 0, i;
	char id[32];

	for (i = 0; i < offered; i++) {
		g_snprintf(id, sizeof(id), "%u-%u", (unsigned)second, i);
		n += loom_event_admit(id, second * LOOM_US_PER_S + i);
	}
	return n;
}

/*
 * With ten thousand refusals a second, no more lines are written than the bound
 * allows, but still more than a few once the sampling rate has settled.  When
 * the load ends, every request is logged again.
 */
static void
test_bound(void)
{
	uint32_t second, n;

	open_pipe();
	for (second = 1; second < 10; second++) {
		n = count_admitted(second, 10000);
		TEST_CHECK(n <= LOOM_EVENT_LINES_PER_S, "%u: %u", second, n);
	}
	TEST_CHECK(n > 10, "%u", n);
	for (; second < 40; second++)
		n = count_admitted(second, 10);
	CU_ASSERT_EQUAL(n, 10);
	close_pipe();
}

/*
 * A lowered limit causes a flood of refusals, which use up all request lines of
 * the second.  The line about the limit, which explains them, must still be
 * written.
 */
static void
test_states_in_a_flood(void)
{
	const uint64_t now_us = 100 * LOOM_US_PER_S;
	uint32_t n = 0, i;

	open_pipe();
	count_admitted(100, 10000);
	CU_ASSERT_FALSE(loom_event_admit("a", now_us));
	for (i = 0; i < 2 * LOOM_EVENT_STATE_LINES_PER_S; i++)
		n += loom_event_admit(NULL, now_us);
	CU_ASSERT_EQUAL(n, LOOM_EVENT_STATE_LINES_PER_S);
	close_pipe();
}

/*
 * When nobody reads the pipe, lines are dropped and counted, and the writer
 * does not block.
 */
static void
test_stopped_reader(void)
{
	const struct loom_event_field fields[] = {
		LOOM_F_TEXT("what", "a line like many"),
		LOOM_F_END,
	};
	uint64_t before = loom_log_dropped();
	uint32_t i;

	open_pipe();
	for (i = 0; i < 5000; i++)
		loom_event_write(LOOM_EVENT_LIFE, fields);
	CU_ASSERT(loom_log_dropped() > before);
	close_pipe();
}

/* docs/OPERATIONS.md lists each event with its meaning. */
static void
test_page(void)
{
	static const struct {
		const char *name, *meaning;
	} events[] = {
#define ROW(id, name, meaning) { name, meaning },
		LOOM_EVENTS(ROW)
#undef ROW
	};
	char *page = NULL, *row;
	size_t i;

	g_file_get_contents("docs/OPERATIONS.md", &page, NULL, NULL);
	TEST_CHECK(page != NULL, "the page");
	if (page == NULL)
		return;
	for (i = 0; i < G_N_ELEMENTS(events); i++) {
		row = g_strdup_printf(
		    "| `%s` | %s |", events[i].name, events[i].meaning);
		TEST_CHECK(strstr(page, row) != NULL, "%s", row);
		g_free(row);
	}
	g_free(page);
}

static const struct test_case tests[] = {
	{ "a line", test_line },
	{ "bounded", test_bound },
	{ "states in a flood", test_states_in_a_flood },
	{ "a reader that has stopped", test_stopped_reader },
	{ "the page", test_page },
};

TEST_MAIN("event", tests)
