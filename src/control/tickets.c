/*
 * The executor's side of tickets, safe to call from any thread: the ticket
 * stores of src/decide, sharded by team with a lock for each shard, and the
 * issuers whose tickets run here.
 */

#include <string.h>
#include <talloc.h>

#include "control/tickets_state.h"
#include "inner/ticket_text.h"

/*
 * Maximum number of incarnations of one service whose successor is remembered;
 * enough for months with 20 hosts that are replaced every few days.
 */
#define SUCCESSORS_MAX 4096

const struct loom_ticket_limits loom_ticket_limits_default = {
	.cached_bytes = 16 * 1024 * 1024,
	.answer_bytes = 64 * 1024,
	.waiters = 16,
	.teams = 4096,
};

static void
add_own_issuer(struct loom_tickets *tickets)
{
	const struct loom_random *random = tickets->config.random;
	struct ticket_issuer own = {
		.host_id = tickets->config.self->host_id,
		.incarnation = tickets->config.self->incarnation,
		.expires_us = UINT64_MAX,
	};
	uint64_t word;
	size_t i;

	for (i = 0; i < sizeof(own.secret); i += sizeof(word)) {
		word = random->next(random->arg);
		memcpy(own.secret + i, &word, sizeof(word));
	}
	g_array_append_val(tickets->issuers, own);
}

struct loom_tickets *
loom_tickets_new(const struct loom_tickets_config *config)
{
	struct loom_tickets *tickets = talloc_zero(NULL, struct loom_tickets);
	struct loom_ticket_limits limits = config->limits;
	size_t i;

	limits.cached_bytes = MAX(limits.cached_bytes / TICKET_SHARDS, 1);
	limits.teams = MAX(limits.teams / TICKET_SHARDS, 1);
	tickets->config = *config;
	for (i = 0; i < TICKET_SHARDS; i++) {
		g_mutex_init(&tickets->shards[i].lock);
		tickets->shards[i].store = ticket_store_new(&limits);
	}
	g_mutex_init(&tickets->issuers_lock);
	tickets->issuers =
	    g_array_new(FALSE, FALSE, sizeof(struct ticket_issuer));
	tickets->successors =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	tickets->moving =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	add_own_issuer(tickets);
	tickets->handover = handover_new(tickets, config->fleet_secret);
	return tickets;
}

void
loom_tickets_free(struct loom_tickets *tickets)
{
	size_t i;

	if (tickets == NULL)
		return;
	handover_free(tickets->handover);
	for (i = 0; i < TICKET_SHARDS; i++) {
		ticket_store_free(tickets->shards[i].store);
		g_mutex_clear(&tickets->shards[i].lock);
	}
	g_array_free(tickets->issuers, TRUE);
	g_hash_table_destroy(tickets->successors);
	g_hash_table_destroy(tickets->moving);
	g_mutex_clear(&tickets->issuers_lock);
	talloc_free(tickets);
}

struct ticket_shard *
tickets_shard(struct loom_tickets *tickets, uint64_t team_id)
{
	/* Team ids are hashes already. */
	return &tickets->shards[team_id % TICKET_SHARDS];
}

static struct ticket_issuer
own_issuer(struct loom_tickets *tickets)
{
	struct ticket_issuer own;

	g_mutex_lock(&tickets->issuers_lock);
	own = g_array_index(tickets->issuers, struct ticket_issuer, 0);
	g_mutex_unlock(&tickets->issuers_lock);
	return own;
}

enum loom_result
loom_tickets_issue(struct loom_tickets *tickets, uint64_t team_id,
    uint64_t route_id, uint32_t count, char texts[][LOOM_TICKET_TEXT_MAX])
{
	struct ticket_shard *shard = tickets_shard(tickets, team_id);
	struct ticket_issuer own = own_issuer(tickets);
	enum loom_result code = LOOM_DRAINING;
	struct loom_ticket ticket;
	uint64_t first = 0;
	uint32_t i;

	if (count == 0 || count > LOOM_TICKET_ISSUE_MAX)
		return LOOM_BAD_REQUEST;
	g_mutex_lock(&shard->lock);
	if (!shard->frozen)
		code = ticket_store_issue(
		    shard->store, own.incarnation, team_id, count, &first);
	g_mutex_unlock(&shard->lock);
	for (i = 0; i < count && code == LOOM_OK; i++) {
		ticket = (struct loom_ticket){
			.host_id = own.host_id,
			.incarnation = own.incarnation,
			.team_id = team_id,
			.route_id = route_id,
			.number = first + i,
		};
		if (!ticket_text_write(
			&ticket, own.secret, texts[i], LOOM_TICKET_TEXT_MAX))
			code = LOOM_INTERNAL;
	}
	return code;
}

static void
refuse(struct loom_ticket_begin *begin, enum loom_result code)
{
	memset(begin, 0, sizeof(*begin));
	begin->verdict = LOOM_TICKET_VERDICT_REFUSED;
	begin->code = code;
	begin->outcome = loom_result_info(code)->outcome;
}

/* What the issuer alone determines for a ticket. */
struct issuer_info {
	enum loom_result code; /* LOOM_OK: its tickets run here */
	uint64_t successor_host_id;
	uint8_t secret[LOOM_DERIVED_KEY_SIZE];
};

static struct issuer_info
lookup_issuer(struct loom_tickets *tickets, const struct loom_ticket *ticket)
{
	struct issuer_info info = { .code = LOOM_TICKET_LOST };
	const struct ticket_issuer *issuer;
	const uint64_t *successor;
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	successor =
	    g_hash_table_lookup(tickets->successors, &ticket->incarnation);
	if (successor != NULL) {
		info.code = LOOM_TICKET_MOVED;
		info.successor_host_id = *successor;
	}
	if (g_hash_table_contains(tickets->moving, &ticket->incarnation))
		info.code = LOOM_TICKET_MOVING;
	for (i = 0; i < tickets->issuers->len; i++) {
		issuer =
		    &g_array_index(tickets->issuers, struct ticket_issuer, i);
		if (issuer->incarnation != ticket->incarnation ||
		    issuer->host_id != ticket->host_id)
			continue;
		info.code = LOOM_OK;
		info.successor_host_id =
		    tickets->handed_over ? tickets->successor_host_id : 0;
		memcpy(info.secret, issuer->secret, sizeof(info.secret));
	}
	g_mutex_unlock(&tickets->issuers_lock);
	return info;
}

static struct ticket_key
make_key(const struct loom_ticket *ticket)
{
	return (struct ticket_key){
		.incarnation = ticket->incarnation,
		.team_id = ticket->team_id,
		.number = ticket->number,
	};
}

void
loom_tickets_begin(struct loom_tickets *tickets,
    const struct loom_ticket *ticket, uint64_t team_id, uint64_t route_id,
    const struct loom_request_digest *digest,
    const struct loom_ticket_waiter *waiter, struct loom_ticket_begin *begin)
{
	struct ticket_key key = make_key(ticket);
	struct issuer_info info = lookup_issuer(tickets, ticket);
	struct ticket_shard *shard;

	if (info.code != LOOM_OK) {
		refuse(begin, info.code);
		begin->successor_host_id = info.successor_host_id;
		return;
	}
	if (!ticket_mac_is_valid(ticket, info.secret) ||
	    ticket->team_id != team_id || ticket->route_id != route_id) {
		refuse(begin, LOOM_TICKET_INVALID);
		return;
	}
	shard = tickets_shard(tickets, team_id);
	g_mutex_lock(&shard->lock);
	ticket_store_begin(
	    shard->store, &key, digest, waiter, shard->frozen, begin);
	g_mutex_unlock(&shard->lock);
	if (begin->verdict == LOOM_TICKET_VERDICT_REFUSED &&
	    begin->code == LOOM_TICKET_MOVING && info.successor_host_id != 0) {
		refuse(begin, LOOM_TICKET_MOVED);
		begin->successor_host_id = info.successor_host_id;
	}
}

static void
notify_waiters(GArray *waiters, enum loom_result code,
    enum loom_outcome outcome, struct loom_answer *answer)
{
	const struct loom_ticket_waiter *waiter;
	guint i;

	for (i = 0; i < waiters->len; i++) {
		waiter = &g_array_index(waiters, struct loom_ticket_waiter, i);
		waiter->done(waiter->arg, code, outcome, answer);
	}
	g_array_free(waiters, TRUE);
}

void
loom_tickets_finish(struct loom_tickets *tickets, struct loom_ticket_run *run,
    enum loom_outcome outcome, enum loom_result code,
    struct loom_answer *answer)
{
	struct ticket_shard *shard = tickets_shard(tickets, run->key.team_id);
	GArray *waiters;

	/*
	 * Only loom_tickets_abandon() may report not-run.  A run that was sent
	 * to the upstream is never reported so, whatever outcome is passed.
	 */
	if (outcome != LOOM_OUTCOME_RAN)
		outcome = LOOM_OUTCOME_UNKNOWN;
	if (outcome == LOOM_OUTCOME_RAN && answer == NULL)
		code = LOOM_TICKET_RAN;
	g_mutex_lock(&shard->lock);
	waiters = ticket_store_finish(shard->store, run, outcome, answer);
	g_mutex_unlock(&shard->lock);
	notify_waiters(waiters, code, outcome, answer);
}

void
loom_tickets_abandon(struct loom_tickets *tickets, struct loom_ticket_run *run,
    enum loom_result code)
{
	struct ticket_shard *shard = tickets_shard(tickets, run->key.team_id);
	GArray *waiters;

	g_mutex_lock(&shard->lock);
	waiters = ticket_store_abandon(shard->store, run);
	g_mutex_unlock(&shard->lock);
	notify_waiters(waiters, code, LOOM_OUTCOME_NOT_RUN, NULL);
}

bool
loom_tickets_detach(struct loom_tickets *tickets,
    const struct loom_ticket *ticket, const struct loom_ticket_waiter *waiter)
{
	struct ticket_shard *shard = tickets_shard(tickets, ticket->team_id);
	struct ticket_key key = make_key(ticket);
	bool detached;

	g_mutex_lock(&shard->lock);
	detached = ticket_store_detach(shard->store, &key, waiter);
	g_mutex_unlock(&shard->lock);
	return detached;
}

void
tickets_freeze(struct loom_tickets *tickets)
{
	size_t i;

	for (i = 0; i < TICKET_SHARDS; i++) {
		g_mutex_lock(&tickets->shards[i].lock);
		tickets->shards[i].frozen = true;
		g_mutex_unlock(&tickets->shards[i].lock);
	}
}

uint32_t
tickets_running(struct loom_tickets *tickets)
{
	uint32_t running = 0;
	size_t i;

	for (i = 0; i < TICKET_SHARDS; i++) {
		g_mutex_lock(&tickets->shards[i].lock);
		running += ticket_store_running_count(tickets->shards[i].store);
		g_mutex_unlock(&tickets->shards[i].lock);
	}
	return running;
}

void
tickets_set_drained(struct loom_tickets *tickets, uint64_t successor_host_id)
{
	g_mutex_lock(&tickets->issuers_lock);
	tickets->handed_over = successor_host_id != 0;
	tickets->successor_host_id = successor_host_id;
	tickets->drained = true;
	g_mutex_unlock(&tickets->issuers_lock);
}

bool
loom_tickets_drained(struct loom_tickets *tickets)
{
	bool drained;

	g_mutex_lock(&tickets->issuers_lock);
	drained = tickets->drained;
	g_mutex_unlock(&tickets->issuers_lock);
	return drained;
}

void
tickets_set_successor(
    struct loom_tickets *tickets, uint64_t incarnation, uint64_t host_id)
{
	g_mutex_lock(&tickets->issuers_lock);
	/*
	 * Successors repeat their announcements, so entries removed here return
	 * soon.
	 */
	if (g_hash_table_size(tickets->successors) >= SUCCESSORS_MAX)
		g_hash_table_remove_all(tickets->successors);
	g_hash_table_replace(tickets->successors,
	    g_memdup2(&incarnation, sizeof(incarnation)),
	    g_memdup2(&host_id, sizeof(host_id)));
	g_mutex_unlock(&tickets->issuers_lock);
}

void
tickets_set_moving(
    struct loom_tickets *tickets, uint64_t incarnation, bool moving)
{
	g_mutex_lock(&tickets->issuers_lock);
	if (moving)
		g_hash_table_add(tickets->moving,
		    g_memdup2(&incarnation, sizeof(incarnation)));
	else
		g_hash_table_remove(tickets->moving, &incarnation);
	g_mutex_unlock(&tickets->issuers_lock);
}
