/*
 * The executor's side of tickets, safe from any thread: the books of
 * src/decide in shards by team, each under its own lock, and the issuers
 * whose tickets run here.
 */

#include <string.h>
#include <talloc.h>

#include "control/tickets_state.h"
#include "inner/ticket_text.h"

/* Incarnations of one service whose heir is remembered: at 20 hosts that are
 * replaced every few days these are months. */
#define HEIRS_MAX 4096

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
	tickets->heirs =
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
	g_hash_table_destroy(tickets->heirs);
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

/* What is known of a ticket by its issuer alone. */
struct issuer_view {
	enum loom_result code; /* LOOM_OK: its tickets run here */
	uint64_t heir_host_id;
	uint8_t secret[LOOM_SEAL_KEY_SIZE];
};

static struct issuer_view
view_issuer(struct loom_tickets *tickets, const struct loom_ticket *ticket)
{
	struct issuer_view view = { .code = LOOM_TICKET_LOST };
	const struct ticket_issuer *issuer;
	const uint64_t *heir;
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	heir = g_hash_table_lookup(tickets->heirs, &ticket->incarnation);
	if (heir != NULL) {
		view.code = LOOM_TICKET_MOVED;
		view.heir_host_id = *heir;
	}
	if (g_hash_table_contains(tickets->moving, &ticket->incarnation))
		view.code = LOOM_TICKET_MOVING;
	for (i = 0; i < tickets->issuers->len; i++) {
		issuer =
		    &g_array_index(tickets->issuers, struct ticket_issuer, i);
		if (issuer->incarnation != ticket->incarnation ||
		    issuer->host_id != ticket->host_id)
			continue;
		view.code = LOOM_OK;
		view.heir_host_id = tickets->handed ? tickets->heir_host_id : 0;
		memcpy(view.secret, issuer->secret, sizeof(view.secret));
	}
	g_mutex_unlock(&tickets->issuers_lock);
	return view;
}

static struct ticket_key
key_of(const struct loom_ticket *ticket)
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
	struct ticket_key key = key_of(ticket);
	struct issuer_view view = view_issuer(tickets, ticket);
	struct ticket_shard *shard;

	if (view.code != LOOM_OK) {
		refuse(begin, view.code);
		begin->heir_host_id = view.heir_host_id;
		return;
	}
	if (!ticket_mac_holds(ticket, view.secret) ||
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
	    begin->code == LOOM_TICKET_MOVING && view.heir_host_id != 0) {
		refuse(begin, LOOM_TICKET_MOVED);
		begin->heir_host_id = view.heir_host_id;
	}
}

static void
tell_waiters(GArray *waiters, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
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

	/* A run that was sent is never told as not-run, whatever its caller
	 * passes: only abandon says that. */
	if (outcome != LOOM_OUTCOME_RAN)
		outcome = LOOM_OUTCOME_UNKNOWN;
	if (outcome == LOOM_OUTCOME_RAN && answer == NULL)
		code = LOOM_TICKET_RAN;
	g_mutex_lock(&shard->lock);
	waiters = ticket_store_finish(shard->store, run, outcome, answer);
	g_mutex_unlock(&shard->lock);
	tell_waiters(waiters, code, outcome, answer);
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
	tell_waiters(waiters, code, LOOM_OUTCOME_NOT_RUN, NULL);
}

bool
loom_tickets_detach(struct loom_tickets *tickets,
    const struct loom_ticket *ticket, const struct loom_ticket_waiter *waiter)
{
	struct ticket_shard *shard = tickets_shard(tickets, ticket->team_id);
	struct ticket_key key = key_of(ticket);
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
tickets_set_drained(struct loom_tickets *tickets, uint64_t heir_host_id)
{
	g_mutex_lock(&tickets->issuers_lock);
	tickets->handed = heir_host_id != 0;
	tickets->heir_host_id = heir_host_id;
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
tickets_note_heir(
    struct loom_tickets *tickets, uint64_t incarnation, uint64_t host_id)
{
	g_mutex_lock(&tickets->issuers_lock);
	/* The heirs announce themselves again, so nothing is lost for long. */
	if (g_hash_table_size(tickets->heirs) >= HEIRS_MAX)
		g_hash_table_remove_all(tickets->heirs);
	g_hash_table_replace(tickets->heirs,
	    g_memdup2(&incarnation, sizeof(incarnation)),
	    g_memdup2(&host_id, sizeof(host_id)));
	g_mutex_unlock(&tickets->issuers_lock);
}

void
tickets_note_moving(
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
