/*
 * The states of a ticket at its executor:
 *
 *   unused --begin--> running --finish--> ran (answer kept, later not)
 *                        |  \--finish, unknown--> used
 *                        \--abandon--> refused
 *
 * There is no way back to unused.  An abandoned run never touched the
 * upstream and could be tried again, but its caller was told not-run and may
 * have begun anew with another ticket; a late copy of the first would then be
 * the second run.
 *
 * Kept answers are bounded in bytes and go by least recent use.  A ticket
 * whose answer is gone still has its two bits, and is never run.
 */

#include <string.h>
#include <talloc.h>

#include "decide/ticket_book.h"

/* What a kept answer costs besides its bytes: the structures around it. */
#define KEPT_OVERHEAD_BYTES 256

struct ticket_book {
	struct loom_ticket_limits limits;
	struct ticket_windows windows;
	GHashTable *runs; /* struct loom_ticket_run, owned */
	GQueue kept; /* links of runs; the last used one at the tail */
	uint32_t kept_bytes;
	uint32_t running;
};

static guint
run_hash(gconstpointer key)
{
	const struct ticket_key *ticket = key;

	return ticket_fold_hash(ticket->incarnation ^ ticket->team_id) ^
	    ticket_fold_hash(ticket->number);
}

static gboolean
run_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct ticket_key)) == 0;
}

static void
run_free(gpointer value)
{
	struct loom_ticket_run *run = value;

	if (run->waiters != NULL)
		g_array_free(run->waiters, TRUE);
	loom_answer_release(run->answer);
	talloc_free(run);
}

struct ticket_book *
ticket_book_new(const struct loom_ticket_limits *limits)
{
	struct ticket_book *book = talloc_zero(NULL, struct ticket_book);

	book->limits = *limits;
	ticket_windows_init(&book->windows, limits->teams);
	book->runs = g_hash_table_new_full(run_hash, run_equal, NULL, run_free);
	g_queue_init(&book->kept);
	return book;
}

void
ticket_book_free(struct ticket_book *book)
{
	g_hash_table_destroy(book->runs);
	ticket_windows_clear(&book->windows);
	talloc_free(book);
}

enum loom_result
ticket_book_issue(struct ticket_book *book, uint64_t incarnation,
    uint64_t team_id, uint32_t count, uint64_t *first)
{
	return ticket_windows_issue(
	    &book->windows, incarnation, team_id, count, first);
}

static void
refuse(struct loom_ticket_begin *begin, enum loom_result code)
{
	begin->verdict = LOOM_TICKET_VERDICT_REFUSED;
	begin->code = code;
	begin->outcome = loom_result_info(code)->outcome;
}

static bool
same_request(
    const struct loom_request_digest *a, const struct loom_request_digest *b)
{
	if (memcmp(a->head, b->head, sizeof(a->head)) != 0)
		return false;
	if (a->has_body != b->has_body)
		return false;
	return !a->has_body || memcmp(a->body, b->body, sizeof(a->body)) == 0;
}

/* The second arrival of a ticket that runs, or whose answer is kept. */
static void
begin_again(struct ticket_book *book, struct loom_ticket_run *run,
    const struct loom_request_digest *digest,
    const struct loom_ticket_waiter *waiter, struct loom_ticket_begin *begin)
{
	if (!same_request(&run->digest, digest)) {
		refuse(begin, LOOM_TICKET_MISMATCH);
	} else if (!run->running) {
		g_queue_unlink(&book->kept, &run->link);
		g_queue_push_tail_link(&book->kept, &run->link);
		begin->verdict = LOOM_TICKET_VERDICT_ANSWER;
		begin->outcome = LOOM_OUTCOME_RAN;
		begin->answer = loom_answer_acquire(run->answer);
	} else if (run->waiters->len >= book->limits.waiters) {
		refuse(begin, LOOM_TICKET_BUSY);
	} else {
		g_array_append_val(run->waiters, *waiter);
		begin->verdict = LOOM_TICKET_VERDICT_ATTACHED;
	}
}

static void
start_run(struct ticket_book *book, const struct ticket_key *key,
    const struct loom_request_digest *digest, struct loom_ticket_begin *begin)
{
	struct loom_ticket_run *run = talloc_zero(book, struct loom_ticket_run);

	run->key = *key;
	run->digest = *digest;
	run->running = true;
	run->waiters =
	    g_array_new(FALSE, FALSE, sizeof(struct loom_ticket_waiter));
	run->link.data = run;
	g_hash_table_insert(book->runs, &run->key, run);
	book->running++;
	begin->verdict = LOOM_TICKET_VERDICT_RUN;
	begin->run = run;
}

void
ticket_book_begin(struct ticket_book *book, const struct ticket_key *key,
    const struct loom_request_digest *digest,
    const struct loom_ticket_waiter *waiter, bool frozen,
    struct loom_ticket_begin *begin)
{
	struct loom_ticket_run *run = g_hash_table_lookup(book->runs, key);
	struct ticket_window *window;

	memset(begin, 0, sizeof(*begin));
	if (run != NULL) {
		begin_again(book, run, digest, waiter, begin);
		return;
	}
	window =
	    ticket_windows_find(&book->windows, key->incarnation, key->team_id);
	if (window == NULL) {
		refuse(begin, LOOM_TICKET_LOST);
		return;
	}
	switch (ticket_window_get(window, key->number)) {
	case TICKET_STATE_UNUSED:
		if (frozen) {
			refuse(begin, LOOM_TICKET_MOVING);
			break;
		}
		ticket_window_set(window, key->number, TICKET_STATE_USED);
		start_run(book, key, digest, begin);
		break;
	case TICKET_STATE_USED:
		refuse(begin, LOOM_TICKET_UNKNOWN);
		break;
	case TICKET_STATE_RAN:
		refuse(begin, LOOM_TICKET_RAN);
		break;
	case TICKET_STATE_REFUSED:
		refuse(begin, LOOM_TICKET_SPENT);
		break;
	case TICKET_STATE_EXPIRED:
		refuse(begin, LOOM_TICKET_EXPIRED);
		break;
	case TICKET_STATE_NEVER:
		refuse(begin, LOOM_TICKET_INVALID);
		break;
	}
}

static void
set_state(struct ticket_book *book, const struct ticket_key *key,
    enum ticket_state state)
{
	struct ticket_window *window =
	    ticket_windows_find(&book->windows, key->incarnation, key->team_id);

	if (window != NULL)
		ticket_window_set(window, key->number, state);
}

/* Drop least recently used answers until the bytes fit. */
static void
trim_kept(struct ticket_book *book)
{
	struct loom_ticket_run *run;
	GList *link;

	while (book->kept_bytes > book->limits.kept_bytes) {
		link = g_queue_pop_head_link(&book->kept);
		run = link->data;
		book->kept_bytes -= run->kept_bytes;
		g_hash_table_remove(book->runs, &run->key);
	}
}

static bool
may_keep(const struct ticket_book *book, const struct loom_answer *answer)
{
	return answer->head_bytes + answer->body_bytes <=
	    book->limits.answer_bytes;
}

static void
keep(struct ticket_book *book, struct loom_ticket_run *run,
    struct loom_answer *answer)
{
	run->answer = loom_answer_acquire(answer);
	run->kept_bytes = (uint32_t)(answer->head_bytes + answer->body_bytes) +
	    KEPT_OVERHEAD_BYTES;
	book->kept_bytes += run->kept_bytes;
	g_queue_push_tail_link(&book->kept, &run->link);
	trim_kept(book);
}

/* The run stops being one; its waiters pass to the caller. */
static GArray *
end_run(struct ticket_book *book, struct loom_ticket_run *run)
{
	GArray *waiters = run->waiters;

	run->waiters = NULL;
	run->running = false;
	book->running--;
	return waiters;
}

GArray *
ticket_book_finish(struct ticket_book *book, struct loom_ticket_run *run,
    enum loom_outcome outcome, struct loom_answer *answer)
{
	GArray *waiters = end_run(book, run);

	if (outcome == LOOM_OUTCOME_RAN)
		set_state(book, &run->key, TICKET_STATE_RAN);
	if (outcome == LOOM_OUTCOME_RAN && answer != NULL &&
	    may_keep(book, answer))
		keep(book, run, answer);
	else
		g_hash_table_remove(book->runs, &run->key);
	return waiters;
}

GArray *
ticket_book_abandon(struct ticket_book *book, struct loom_ticket_run *run)
{
	GArray *waiters = end_run(book, run);

	set_state(book, &run->key, TICKET_STATE_REFUSED);
	g_hash_table_remove(book->runs, &run->key);
	return waiters;
}

bool
ticket_book_detach(struct ticket_book *book, const struct ticket_key *key,
    const struct loom_ticket_waiter *waiter)
{
	struct loom_ticket_run *run = g_hash_table_lookup(book->runs, key);
	const struct loom_ticket_waiter *other;
	guint i;

	if (run == NULL || !run->running)
		return false;
	for (i = 0; i < run->waiters->len; i++) {
		other =
		    &g_array_index(run->waiters, struct loom_ticket_waiter, i);
		if (other->done == waiter->done && other->arg == waiter->arg) {
			g_array_remove_index(run->waiters, i);
			return true;
		}
	}
	return false;
}

uint32_t
ticket_book_running(const struct ticket_book *book)
{
	return book->running;
}

uint32_t
ticket_book_kept_bytes(const struct ticket_book *book)
{
	return book->kept_bytes;
}

struct ticket_windows *
ticket_book_windows(struct ticket_book *book)
{
	return &book->windows;
}

void
ticket_book_each_kept(struct ticket_book *book,
    bool (*each)(void *arg, const struct loom_ticket_run *), void *arg)
{
	GList *link;

	for (link = book->kept.tail; link != NULL; link = link->prev) {
		if (!each(arg, link->data))
			return;
	}
}

void
ticket_book_put_kept(struct ticket_book *book, const struct ticket_key *key,
    const struct loom_request_digest *digest, struct loom_answer *answer)
{
	struct loom_ticket_run *run;

	if (g_hash_table_contains(book->runs, key) || !may_keep(book, answer))
		return;
	run = talloc_zero(book, struct loom_ticket_run);
	run->key = *key;
	run->digest = *digest;
	run->link.data = run;
	g_hash_table_insert(book->runs, &run->key, run);
	keep(book, run, answer);
}
