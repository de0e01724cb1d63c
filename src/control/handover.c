/*
 * The message handling of the handover component: its callback table, and the
 * announcements and queries that tell the hosts of a service which host has
 * taken over the tickets of an incarnation.
 */

#include <string.h>
#include <talloc.h>

#include "control/tickets_state.h"
#include "inner/handover_codec.h"

/*
 * Interval of the announcements, within which hosts that started later or
 * missed a message learn of a successor.  For the 20 hosts of a service this is
 * a few bytes a second.
 */
#define ANNOUNCE_INTERVAL_US (30 * LOOM_US_PER_S)
/*
 * A host that is replaced in place receives the tickets of its predecessor at
 * once and must not report them as lost while their successor is alive.  So it
 * queries for successors at its start, three times since messages may get lost.
 */
#define QUERIES_MAX 3
#define QUERY_INTERVAL_US LOOM_US_PER_S

struct handover *
handover_new(struct loom_tickets *tickets, const uint8_t *fleet_secret)
{
	struct handover *handover = talloc_zero(NULL, struct handover);

	handover->tickets = tickets;
	loom_derive_key(handover->key, fleet_secret, LOOM_PURPOSE_HANDOVER);
	handover_successor_init(handover);
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
	handover_successor_free(handover);
	talloc_free(handover);
}

void
handover_send(struct handover *handover, uint64_t host_id, uint8_t type,
    const uint8_t *payload, size_t len)
{
	const struct loom_sender *sender = handover->tickets->config.sender;

	sender->send(sender->arg, host_id, type, payload, len);
}

/* Fills in the incarnations whose tickets run or ran here. */
static void
list_incarnations(struct loom_tickets *tickets, bool include_own,
    struct handover_successor *successor)
{
	guint i;

	g_mutex_lock(&tickets->issuers_lock);
	for (i = include_own ? 0 : 1; i < tickets->issuers->len; i++) {
		if (successor->count == HANDOVER_INCARNATIONS_MAX)
			break;
		successor->incarnations[successor->count++] =
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
    struct handover *handover, uint64_t successor_host_id, uint64_t now_us)
{
	const struct loom_self *self = handover->tickets->config.self;
	struct handover_successor successor = { .host_id = successor_host_id };
	uint8_t message[HANDOVER_MESSAGE_MAX];

	handover->last_announce_us = now_us;
	list_incarnations(
	    handover->tickets, successor_host_id != self->host_id, &successor);
	if (successor.count != 0)
		send_to_service(handover, HANDOVER_SUCCESSOR, message,
		    handover_successor_pack(&successor, message));
}

/*
 * Names this daemon as the successor for the tickets that it inherited, as long
 * as it runs them.
 */
static void
reply_to_query(
    struct handover *handover, const struct loom_message_source *from)
{
	const struct loom_self *self = handover->tickets->config.self;
	struct handover_successor successor = { .host_id = self->host_id };
	uint8_t message[HANDOVER_MESSAGE_MAX];

	list_incarnations(handover->tickets, false, &successor);
	if (handover->phase == HANDOVER_IDLE && successor.count != 0)
		handover_send(handover, from->host_id, HANDOVER_SUCCESSOR,
		    message, handover_successor_pack(&successor, message));
}

/* Asks the hosts of the service whose tickets they have inherited. */
static void
query_successors(struct handover *handover, uint64_t now_us)
{
	if (handover->query_count == QUERIES_MAX || handover->hosts == NULL ||
	    (handover->query_count != 0 &&
		now_us - handover->last_query_us < QUERY_INTERVAL_US))
		return;
	handover->query_count++;
	handover->last_query_us = now_us;
	send_to_service(handover, HANDOVER_QUERY, (const uint8_t *)"", 0);
}

static void
record_successor(struct handover *handover, const uint8_t *payload, size_t len)
{
	struct loom_tickets *tickets = handover->tickets;
	struct handover_successor successor;
	uint32_t i;

	if (!handover_successor_unpack(payload, len, &successor))
		return;
	if (successor.host_id == tickets->config.self->host_id)
		return;
	for (i = 0; i < successor.count; i++)
		tickets_set_successor(
		    tickets, successor.incarnations[i], successor.host_id);
}

static void
on_message(void *component, const struct loom_message_source *from,
    uint8_t type, const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct handover *handover =
	    ((struct loom_tickets *)component)->handover;
	uint64_t incarnation;
	uint32_t index;

	switch (type) {
	case HANDOVER_OFFER:
		handover_on_offer(handover, from);
		break;
	case HANDOVER_ACCEPT:
		if (handover_reply_unpack(payload, len, &incarnation, &index))
			handover_on_accept(handover, from, incarnation, now_us);
		break;
	case HANDOVER_CHUNK:
		handover_on_chunk(handover, from, payload, len, now_us);
		break;
	case HANDOVER_ACK:
		if (handover_reply_unpack(payload, len, &incarnation, &index))
			handover_on_ack(handover, from, incarnation, index);
		break;
	case HANDOVER_SUCCESSOR:
		record_successor(handover, payload, len);
		break;
	case HANDOVER_QUERY:
		reply_to_query(handover, from);
		break;
	default:
		break;
	}
}

static void
on_tick(void *component, uint64_t now_us)
{
	struct loom_tickets *tickets = component;
	struct handover *handover = tickets->handover;

	query_successors(handover, now_us);
	handover_successor_tick(handover, now_us);
	handover_source_tick(handover, now_us);
	if (handover->phase == HANDOVER_IDLE &&
	    now_us - handover->last_announce_us >= ANNOUNCE_INTERVAL_US)
		handover_announce(
		    handover, tickets->config.self->host_id, now_us);
}

static void
on_hosts_changed(void *component, struct loom_hosts *hosts, uint64_t now_us)
{
	struct handover *handover =
	    ((struct loom_tickets *)component)->handover;
	struct loom_hosts *old = handover->hosts;

	(void)now_us;
	handover->hosts = loom_hosts_acquire(hosts);
	if (old != NULL)
		loom_hosts_release(old);
}

static void
on_drain(void *component, uint64_t now_us)
{
	handover_start(((struct loom_tickets *)component)->handover, now_us);
}

const struct loom_component_ops loom_tickets_ops = {
	.name = "tickets",
	.first_type = HANDOVER_OFFER,
	.last_type = HANDOVER_LAST,
	.tick_us = HANDOVER_TICK_US,
	.message = on_message,
	.tick = on_tick,
	.hosts_changed = on_hosts_changed,
	.drain = on_drain,
};
