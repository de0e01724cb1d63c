/*
 * The part of the control protocol that hands tickets over: its table, who
 * may be heir, and the word of who is.
 */

#include <string.h>
#include <talloc.h>

#include "control/tickets_state.h"
#include "inner/handover_codec.h"

/* Hosts that start later, or missed the word, hear it within this time; for
 * 20 hosts of a service it is a few bytes a second. */
#define ANNOUNCE_US (30 * LOOM_US_PER_S)
/* A host that is replaced in place gets the tickets of its forerunner at once
 * and must not call them lost while their heir is alive.  Three times, since
 * messages get lost. */
#define ASK_TIMES 3
#define ASK_US LOOM_US_PER_S

struct handover *
handover_new(struct loom_tickets *tickets, const uint8_t *fleet_secret)
{
	struct handover *handover = talloc_zero(NULL, struct handover);

	handover->tickets = tickets;
	loom_derive_key(handover->key, fleet_secret, LOOM_PURPOSE_HANDOVER);
	handover_take_init(handover);
	return handover;
}

void
handover_free(struct handover *handover)
{
	if (handover->hosts != NULL)
		loom_hosts_release(handover->hosts);
	if (handover->state != NULL)
		g_byte_array_free(handover->state, TRUE);
	if (handover->acked != NULL)
		g_byte_array_free(handover->acked, TRUE);
	handover_take_free(handover);
	talloc_free(handover);
}

void
handover_send(struct handover *handover, uint64_t host_id, uint8_t type,
    const uint8_t *payload, size_t len)
{
	const struct loom_sender *sender = handover->tickets->config.sender;

	sender->send(sender->arg, host_id, type, payload, len);
}

/* Fills in the incarnations whose tickets run, or ran, here. */
static void
list_incarnations(
    struct loom_tickets *tickets, bool own_too, struct handover_heir *heir)
{
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	for (i = own_too ? 0 : 1; i < tickets->issuers->len; i++) {
		if (heir->count == HANDOVER_INCARNATIONS_MAX)
			break;
		heir->incarnations[heir->count++] =
		    g_array_index(tickets->issuers, struct ticket_issuer, i)
			.incarnation;
	}
	g_mutex_unlock(&tickets->issuers_lock);
}

static void
send_to_service(
    struct handover *handover, uint8_t type, const uint8_t *message, size_t len)
{
	const struct loom_self *self = handover->tickets->config.self;
	const struct loom_host *hosts;
	uint32_t i, n;

	if (handover->hosts == NULL)
		return;
	hosts = loom_hosts_of_service(handover->hosts, self->service_id, &n);
	for (i = 0; i < n; i++) {
		if (hosts[i].id != self->host_id)
			handover_send(
			    handover, hosts[i].id, type, message, len);
	}
}

void
handover_announce(
    struct handover *handover, uint64_t heir_host_id, uint64_t now_us)
{
	const struct loom_self *self = handover->tickets->config.self;
	struct handover_heir heir = { .host_id = heir_host_id };
	uint8_t message[HANDOVER_MESSAGE_MAX];

	handover->announced_us = now_us;
	list_incarnations(
	    handover->tickets, heir_host_id != self->host_id, &heir);
	if (heir.count != 0)
		send_to_service(handover, HANDOVER_HEIR, message,
		    handover_heir_pack(&heir, message));
}

/* Whom the asker may send tickets to: us, while we run what we inherited. */
static void
answer_ask(struct handover *handover, const struct loom_from *from)
{
	const struct loom_self *self = handover->tickets->config.self;
	struct handover_heir heir = { .host_id = self->host_id };
	uint8_t message[HANDOVER_MESSAGE_MAX];

	list_incarnations(handover->tickets, false, &heir);
	if (handover->phase == HANDOVER_STAY && heir.count != 0)
		handover_send(handover, from->host_id, HANDOVER_HEIR, message,
		    handover_heir_pack(&heir, message));
}

static void
ask_for_heirs(struct handover *handover, uint64_t now_us)
{
	if (handover->asked == ASK_TIMES || handover->hosts == NULL ||
	    (handover->asked != 0 && now_us - handover->asked_us < ASK_US))
		return;
	handover->asked++;
	handover->asked_us = now_us;
	send_to_service(handover, HANDOVER_ASK, (const uint8_t *)"", 0);
}

static void
note_heir(struct handover *handover, const uint8_t *payload, size_t len)
{
	struct loom_tickets *tickets = handover->tickets;
	struct handover_heir heir;
	uint32_t i;

	if (!handover_heir_unpack(payload, len, &heir))
		return;
	if (heir.host_id == tickets->config.self->host_id)
		return;
	for (i = 0; i < heir.count; i++)
		tickets_note_heir(tickets, heir.incarnations[i], heir.host_id);
}

static void
part_message(void *part, const struct loom_from *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct handover *handover = ((struct loom_tickets *)part)->handover;
	uint64_t incarnation;
	uint32_t index;

	switch (type) {
	case HANDOVER_OFFER:
		handover_offered(handover, from);
		break;
	case HANDOVER_ACCEPT:
		if (handover_reply_unpack(payload, len, &incarnation, &index))
			handover_accepted(handover, from, incarnation, now_us);
		break;
	case HANDOVER_CHUNK:
		handover_take(handover, from, payload, len, now_us);
		break;
	case HANDOVER_ACK:
		if (handover_reply_unpack(payload, len, &incarnation, &index))
			handover_acked(handover, from, incarnation, index);
		break;
	case HANDOVER_HEIR:
		note_heir(handover, payload, len);
		break;
	case HANDOVER_ASK:
		answer_ask(handover, from);
		break;
	default:
		break;
	}
}

static void
part_tick(void *part, uint64_t now_us)
{
	struct loom_tickets *tickets = part;
	struct handover *handover = tickets->handover;

	ask_for_heirs(handover, now_us);
	handover_take_tick(handover, now_us);
	handover_leave_tick(handover, now_us);
	if (handover->phase == HANDOVER_STAY &&
	    now_us - handover->announced_us >= ANNOUNCE_US)
		handover_announce(
		    handover, tickets->config.self->host_id, now_us);
}

static void
part_hosts_changed(void *part, struct loom_hosts *hosts, uint64_t now_us)
{
	struct handover *handover = ((struct loom_tickets *)part)->handover;
	struct loom_hosts *old = handover->hosts;

	(void)now_us;
	handover->hosts = loom_hosts_acquire(hosts);
	if (old != NULL)
		loom_hosts_release(old);
}

static void
part_drain(void *part, uint64_t now_us)
{
	handover_leave(((struct loom_tickets *)part)->handover, now_us);
}

const struct loom_part_ops loom_tickets_part = {
	.name = "tickets",
	.first_type = HANDOVER_OFFER,
	.last_type = HANDOVER_LAST,
	.tick_us = HANDOVER_TICK_US,
	.message = part_message,
	.tick = part_tick,
	.hosts_changed = part_hosts_changed,
	.drain = part_drain,
};
