/*
 * The states of a ticket at its executor:
 *
 *  unused --begin--> running --finish, ran--> ran (answer cached until evicted)
 *                       |  \--finish, unknown--> used
 *                       \--abandon--> refused
 *
 * No state leads back to unused.  An abandoned run never reached the upstream
 * and would be safe to retry by itself, but its caller was told not-run and may
 * have started over with another ticket.  A delayed copy of the first request
 * would then run the order a second time.
 *
 * The answer cache is bounded in bytes and evicts the least recently used
 * answer.  A ticket whose answer was evicted keeps its two-bit state and never
 * runs again.
 */

#include <string.h>
#include <talloc.h>

#include "decide/ticket_store.h"

/* Memory of a cached answer besides its bytes: the structures around it. */
#define ANSWER_OVERHEAD_BYTES 256

struct ticket_store {
	struct loom_ticket_limits limits;
	struct ticket_windows windows;
	GHashTable *runs; /* struct loom_ticket_run, owned */
	/* cached answers by their link; most recently used at the tail */
	GQueue lru;
	uint32_t cached_bytes;
	uint32_t running;
};

static guint
run_hash(gconstpointer key)
{
	const struct ticket_key *ticket = key;

	return ticket_hash_id(ticket->incarnation ^ ticket->team_id) ^
	    ticket_hash_id(ticket->number);
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

struct ticket_store *
ticket_store_new(const struct loom_ticket_limits *limits)
{
	struct ticket_store *store = talloc_zero(NULL, struct ticket_store);

	store->limits = *limits;
	ticket_windows_init(&store->windows, limits->teams);
	store->runs =
	    g_hash_table_new_full(run_hash, run_equal, NULL, run_free);
	g_queue_init(&store->lru);
	return store;
}

void
ticket_store_free(struct ticket_store *store)
{
	g_hash_table_destroy(store->runs);
	ticket_windows_clear(&store->windows);
	talloc_free(store);
}

enum loom_result
ticket_store_issue(struct ticket_store *store, uint64_t incarnation,
    uint64_t team_id, uint32_t count, uint64_t *first)
{
	return ticket_windows_issue(
	    &store->windows, incarnation, team_id, count, first);
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

/* Handles a repeated request whose ticket is running or has a cached answer. */
static void
begin_repeated(struct ticket_store *store, struct loom_ticket_run *run,
    const struct loom_request_digest *digest,
    const struct loom_ticket_waiter *waiter, struct loom_ticket_begin *begin)
{
	if (!same_request(&run->digest, digest)) {
		refuse(begin, LOOM_TICKET_MISMATCH);
	} else if (!run->running) {
		g_queue_unlink(&store->lru, &run->link);
		g_queue_push_tail_link(&store->lru, &run->link);
		begin->verdict = LOOM_TICKET_VERDICT_ANSWER;
		begin->outcome = LOOM_OUTCOME_RAN;
		begin->answer = loom_answer_acquire(run->answer);
	} else if (run->waiters->len >= store->limits.waiters) {
		refuse(begin, LOOM_TICKET_BUSY);
	} else {
		g_array_append_val(run->waiters, *waiter);
		begin->verdict = LOOM_TICKET_VERDICT_ATTACHED;
	}
}

static void
start_run(struct ticket_store *store, const struct ticket_key *key,
    const struct loom_request_digest *digest, struct loom_ticket_begin *begin)
{
	struct loom_ticket_run *run =
	    talloc_zero(store, struct loom_ticket_run);

	run->key = *key;
	run->digest = *digest;
	run->running = true;
	run->waiters =
	    g_array_new(FALSE, FALSE, sizeof(struct loom_ticket_waiter));
	run->link.data = run;
	g_hash_table_insert(store->runs, &run->key, run);
	store->running++;
	begin->verdict = LOOM_TICKET_VERDICT_RUN;
	begin->run = run;
}

void
ticket_store_begin(struct ticket_store *store, const struct ticket_key *key,
    const struct loom_request_digest *digest,
    const struct loom_ticket_waiter *waiter, bool frozen,
    struct loom_ticket_begin *begin)
{
	struct loom_ticket_run *run = g_hash_table_lookup(store->runs, key);
	struct ticket_window *window;

	memset(begin, 0, sizeof(*begin));
	if (run != NULL) {
		begin_repeated(store, run, digest, waiter, begin);
		return;
	}
	window = ticket_windows_find(
	    &store->windows, key->incarnation, key->team_id);
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
		start_run(store, key, digest, begin);
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
	case TICKET_STATE_NOT_ISSUED:
		refuse(begin, LOOM_TICKET_INVALID);
		break;
	}
}

static void
set_state(struct ticket_store *store, const struct ticket_key *key,
    enum ticket_state state)
{
	struct ticket_window *window = ticket_windows_find(
	    &store->windows, key->incarnation, key->team_id);

	if (window != NULL)
		ticket_window_set(window, key->number, state);
}

/* Evicts least recently used answers until the cache fits its limit. */
static void
evict_answers(struct ticket_store *store)
{
	struct loom_ticket_run *run;
	GList *link;

	while (store->cached_bytes > store->limits.cached_bytes) {
		link = g_queue_pop_head_link(&store->lru);
		run = link->data;
		store->cached_bytes -= run->cached_bytes;
		g_hash_table_remove(store->runs, &run->key);
	}
}

static bool
is_cacheable(const struct ticket_store *store, const struct loom_answer *answer)
{
	return answer->head_bytes + answer->body_bytes <=
	    store->limits.answer_bytes;
}

static void
cache_answer(struct ticket_store *store, struct loom_ticket_run *run,
    struct loom_answer *answer)
{
	run->answer = loom_answer_acquire(answer);
	run->cached_bytes =
	    (uint32_t)(answer->head_bytes + answer->body_bytes) +
	    ANSWER_OVERHEAD_BYTES;
	store->cached_bytes += run->cached_bytes;
	g_queue_push_tail_link(&store->lru, &run->link);
	evict_answers(store);
}

/* Marks the run as ended and transfers its waiters to the caller. */
static GArray *
end_run(struct ticket_store *store, struct loom_ticket_run *run)
{
	GArray *waiters = run->waiters;

	run->waiters = NULL;
	run->running = false;
	store->running--;
	return waiters;
}

GArray *
ticket_store_finish(struct ticket_store *store, struct loom_ticket_run *run,
    enum loom_outcome outcome, struct loom_answer *answer)
{
	GArray *waiters = end_run(store, run);

	if (outcome == LOOM_OUTCOME_RAN)
		set_state(store, &run->key, TICKET_STATE_RAN);
	if (outcome == LOOM_OUTCOME_RAN && answer != NULL &&
	    is_cacheable(store, answer))
		cache_answer(store, run, answer);
	else
		g_hash_table_remove(store->runs, &run->key);
	return waiters;
}

GArray *
ticket_store_abandon(struct ticket_store *store, struct loom_ticket_run *run)
{
	GArray *waiters = end_run(store, run);

	set_state(store, &run->key, TICKET_STATE_REFUSED);
	g_hash_table_remove(store->runs, &run->key);
	return waiters;
}

bool
ticket_store_detach(struct ticket_store *store, const struct ticket_key *key,
    const struct loom_ticket_waiter *waiter)
{
	struct loom_ticket_run *run = g_hash_table_lookup(store->runs, key);
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
ticket_store_running_count(const struct ticket_store *store)
{
	return store->running;
}

uint32_t
ticket_store_cached_bytes(const struct ticket_store *store)
{
	return store->cached_bytes;
}

struct ticket_windows *
ticket_store_windows(struct ticket_store *store)
{
	return &store->windows;
}

void
ticket_store_foreach_answer(struct ticket_store *store,
    bool (*callback)(void *arg, const struct loom_ticket_run *), void *arg)
{
	GList *link;

	for (link = store->lru.tail; link != NULL; link = link->prev) {
		if (!callback(arg, link->data))
			return;
	}
}

void
ticket_store_import_answer(struct ticket_store *store,
    const struct ticket_key *key, const struct loom_request_digest *digest,
    struct loom_answer *answer)
{
	struct loom_ticket_run *run;

	if (g_hash_table_contains(store->runs, key) ||
	    !is_cacheable(store, answer))
		return;
	run = talloc_zero(store, struct loom_ticket_run);
	run->key = *key;
	run->digest = *digest;
	run->link.data = run;
	g_hash_table_insert(store->runs, &run->key, run);
	cache_answer(store, run, answer);
}
