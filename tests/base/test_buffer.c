/*
 * The byte queue and the mailbox.
 */

#include <stdatomic.h>
#include <string.h>
#include <talloc.h>

#include "loom/buffer.h"
#include "loom/mailbox.h"
#include "support/test.h"

#define POSTS 1000
#define POSTERS 4

/* Pieces of all lengths come out as they went in, whatever was consumed in
 * between; kept bytes can be read again. */
static void
test_buffer(void)
{
	static const struct {
		bool keep;
		size_t piece;
		size_t consume; /* after each piece */
		size_t pieces;
	} cases[] = {
		{ .keep = false, .piece = 1, .consume = 1, .pieces = 10000 },
		{ .keep = false, .piece = 5000, .consume = 4999, .pieces = 40 },
		{ .keep = false, .piece = 7, .consume = 0, .pieces = 3000 },
		{ .keep = true, .piece = 1000, .consume = 999, .pieces = 64 },
	};
	struct loom_buffer buffer;
	uint8_t piece[5000];
	uint64_t in, out;
	size_t i, j, k;
	void *mem;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&buffer, 0, sizeof(buffer));
		buffer.keep = cases[i].keep;
		mem = talloc_new(NULL);
		in = out = 0;
		for (j = 0; j < cases[i].pieces; j++) {
			for (k = 0; k < cases[i].piece; k++)
				piece[k] = (uint8_t)(in++ * 31 % 251);
			loom_buffer_append(&buffer, mem, piece, cases[i].piece);
			TEST_CHECK(loom_buffer_peek(&buffer)[0] ==
				(uint8_t)(out * 31 % 251),
			    "case %zu piece %zu", i, j);
			loom_buffer_consume(&buffer, cases[i].consume);
			out += cases[i].consume;
		}
		TEST_CHECK(loom_buffer_length(&buffer) == in - out,
		    "case %zu: %zu", i, loom_buffer_length(&buffer));
		if (cases[i].keep) {
			loom_buffer_rewind(&buffer);
			TEST_CHECK(loom_buffer_length(&buffer) == in,
			    "case %zu: rewound", i);
		}
		talloc_free(mem);
	}
}

struct letter {
	unsigned poster;
	unsigned number;
};

static struct {
	struct loom_mailbox *mailbox;
	unsigned next[POSTERS]; /* the number expected from each */
	unsigned taken;
	bool in_order;
} box;

static struct letter letters[POSTERS][POSTS];

static void
take(void *arg)
{
	const struct letter *letter = arg;

	box.in_order &= letter->number == box.next[letter->poster]++;
	box.taken++;
}

static void *
post(void *arg)
{
	struct letter *mine = arg;
	unsigned i;

	for (i = 0; i < POSTS; i++)
		loom_mailbox_post(box.mailbox, take, &mine[i]);
	return NULL;
}

/* Posts of four threads all run on the loop's thread, each thread's own in
 * their order. */
static void
test_mailbox(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	GThread *threads[POSTERS];
	unsigned i, j;

	memset(&box, 0, sizeof(box));
	box.in_order = true;
	box.mailbox = loom_mailbox_new(ev, ev);
	for (i = 0; i < POSTERS; i++) {
		for (j = 0; j < POSTS; j++)
			letters[i][j] =
			    (struct letter){ .poster = i, .number = j };
		threads[i] = g_thread_new("poster", post, letters[i]);
	}
	while (box.taken < POSTERS * POSTS)
		tevent_loop_once(ev);
	for (i = 0; i < POSTERS; i++)
		g_thread_join(threads[i]);
	CU_ASSERT_TRUE(box.in_order);
	TALLOC_FREE(box.mailbox);
	talloc_free(ev);
}

static const struct test_case tests[] = {
	{ "buffer", test_buffer },
	{ "mailbox", test_mailbox },
};

TEST_MAIN("buffer", tests)
