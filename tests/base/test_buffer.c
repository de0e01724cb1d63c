/*
 * Tests of the byte queue and the mailbox.
 */

#include <stdatomic.h>
#include <string.h>
#include <talloc.h>

#include "loom/buffer.h"
#include "loom/mailbox.h"
#include "support/test.h"

#define MESSAGES_PER_THREAD 1000
#define THREADS 4

/*
 * Pieces of various lengths are read back in order, however much was consumed
 * in between; kept bytes can be read again.
 */
static void
test_buffer(void)
{
	static const struct {
		bool rewind; /* keep consumed bytes and read them again */
		size_t piece;
		size_t consume; /* after each piece */
		size_t pieces;
	} cases[] = {
		{ .rewind = false, .piece = 1, .consume = 1, .pieces = 10000 },
		{ .rewind = false,
		    .piece = 5000,
		    .consume = 4999,
		    .pieces = 40 },
		{ .rewind = false, .piece = 7, .consume = 0, .pieces = 3000 },
		{ .rewind = true, .piece = 1000, .consume = 999, .pieces = 64 },
	};
	struct loom_buffer buffer;
	uint8_t piece[5000];
	uint64_t in, out;
	size_t i, j, k;
	void *mem;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&buffer, 0, sizeof(buffer));
		buffer.keep_consumed = cases[i].rewind;
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
		if (cases[i].rewind) {
			loom_buffer_rewind(&buffer);
			TEST_CHECK(loom_buffer_length(&buffer) == in,
			    "case %zu: rewound", i);
		}
		talloc_free(mem);
	}
}

struct message {
	unsigned sender;
	unsigned number;
};

static struct {
	struct loom_mailbox *mailbox;
	unsigned next_number[THREADS]; /* expected from each thread */
	unsigned total;
	bool in_order;
} received;

static struct message messages[THREADS][MESSAGES_PER_THREAD];

static void
receive(void *arg)
{
	const struct message *message = arg;

	received.in_order &=
	    message->number == received.next_number[message->sender]++;
	received.total++;
}

static void *
post_messages(void *arg)
{
	struct message *mine = arg;
	unsigned i;

	for (i = 0; i < MESSAGES_PER_THREAD; i++)
		loom_mailbox_post(received.mailbox, receive, &mine[i]);
	return NULL;
}

/*
 * Tasks posted by four threads all run on the thread of the event loop, and
 * those of each thread in the order of posting.
 */
static void
test_mailbox(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	GThread *threads[THREADS];
	unsigned i, j;

	memset(&received, 0, sizeof(received));
	received.in_order = true;
	received.mailbox = loom_mailbox_new(ev, ev);
	for (i = 0; i < THREADS; i++) {
		for (j = 0; j < MESSAGES_PER_THREAD; j++)
			messages[i][j] =
			    (struct message){ .sender = i, .number = j };
		threads[i] = g_thread_new("poster", post_messages, messages[i]);
	}
	while (received.total < THREADS * MESSAGES_PER_THREAD)
		tevent_loop_once(ev);
	for (i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	CU_ASSERT_TRUE(received.in_order);
	TALLOC_FREE(received.mailbox);
	talloc_free(ev);
}

static const struct test_case tests[] = {
	{ "buffer", test_buffer },
	{ "mailbox", test_mailbox },
};

TEST_MAIN("buffer", tests)
