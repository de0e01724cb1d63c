/*
 * The simulated fleet of ticket executors.
 */

#include <stdio.h>
#include <string.h>

#include "support/ticket_fleet.h"

static const uint8_t fleet_secret[LOOM_FLEET_SECRET_SIZE] = { 4, 2 };

struct ticket_fleet_message {
	uint64_t due_us;
	struct loom_message_source from;
	uint64_t to;
	uint8_t type;
	GBytes *payload; /* owned */
};

static struct ticket_fleet_node *
node_by_host(struct ticket_fleet *fleet, uint64_t host_id)
{
	return &fleet->nodes[host_id - 1];
}

static void
enqueue_message(
    struct ticket_fleet *fleet, const struct ticket_fleet_message *message)
{
	struct ticket_fleet_message copy = *message;

	copy.due_us =
	    fleet->now_us + loom_random_below(&fleet->random, fleet->delay_us);
	g_bytes_ref(copy.payload);
	g_array_append_val(fleet->messages, copy);
}

static void
node_send(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct ticket_fleet_node *node = arg;
	struct ticket_fleet *fleet = node->fleet;
	struct ticket_fleet_message message = {
		.from = { node->self.host_id, node->self.incarnation },
		.to = host_id,
		.type = type,
	};

	if (fleet->drop != NULL &&
	    fleet->drop(fleet, node, node_by_host(fleet, host_id), type))
		return;
	message.payload = g_bytes_new(payload, len);
	if (loom_random_unit(&fleet->random) >= fleet->loss)
		enqueue_message(fleet, &message);
	while (loom_random_unit(&fleet->random) < fleet->duplication)
		enqueue_message(fleet, &message);
	g_bytes_unref(message.payload);
}

static struct loom_hosts *
make_hosts(void)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	struct loom_hosts *hosts;
	struct loom_host host;
	uint64_t i;

	for (i = 0; i < FLEET_NODES; i++) {
		memset(&host, 0, sizeof(host));
		snprintf(host.name, sizeof(host.name), "host-%d", (int)i);
		host.id = i + 1;
		host.service_id = FLEET_SERVICE;
		g_array_append_val(list, host);
	}
	hosts = loom_hosts_build(list);
	g_array_free(list, TRUE);
	return hosts;
}

void
ticket_fleet_init(struct ticket_fleet *fleet, uint32_t seed)
{
	uint64_t i;

	memset(fleet, 0, sizeof(*fleet));
	fleet->random = test_random_new(seed);
	fleet->now_us = LOOM_US_PER_S;
	fleet->delay_us = 5 * LOOM_US_PER_MS;
	fleet->messages =
	    g_array_new(FALSE, FALSE, sizeof(struct ticket_fleet_message));
	fleet->hosts = make_hosts();
	for (i = 0; i < FLEET_NODES; i++) {
		fleet->nodes[i].fleet = fleet;
		fleet->nodes[i].self.host_id = i + 1;
		fleet->nodes[i].self.service_id = FLEET_SERVICE;
		fleet->nodes[i].sender.send = node_send;
		fleet->nodes[i].sender.arg = &fleet->nodes[i];
		ticket_fleet_start(&fleet->nodes[i]);
	}
}

void
ticket_fleet_clear(struct ticket_fleet *fleet)
{
	guint i;

	for (i = 0; i < FLEET_NODES; i++)
		loom_tickets_free(fleet->nodes[i].tickets);
	for (i = 0; i < fleet->messages->len; i++)
		g_bytes_unref(g_array_index(
		    fleet->messages, struct ticket_fleet_message, i)
				  .payload);
	g_array_free(fleet->messages, TRUE);
	loom_hosts_release(fleet->hosts);
	test_random_free(&fleet->random);
}

void
ticket_fleet_start(struct ticket_fleet_node *node)
{
	struct loom_random *random = &node->fleet->random;
	struct loom_tickets_config config = {
		.self = &node->self,
		.fleet_secret = fleet_secret,
		.random = random,
		.sender = &node->sender,
		.limits = loom_ticket_limits_default,
	};

	node->self.incarnation = random->next(random->arg);
	node->tickets = loom_tickets_new(&config);
	node->paused = false;
	loom_tickets_ops.hosts_changed(
	    node->tickets, node->fleet->hosts, node->fleet->now_us);
}

void
ticket_fleet_kill(struct ticket_fleet_node *node)
{
	loom_tickets_free(node->tickets);
	node->tickets = NULL;
}

void
ticket_fleet_drain(struct ticket_fleet_node *node)
{
	loom_tickets_ops.drain(node->tickets, node->fleet->now_us);
}

static void
deliver(struct ticket_fleet *fleet, const struct ticket_fleet_message *message)
{
	struct ticket_fleet_node *node = node_by_host(fleet, message->to);
	gsize len;
	const void *data = g_bytes_get_data(message->payload, &len);

	if (node->tickets != NULL)
		loom_tickets_ops.message(node->tickets, &message->from,
		    message->type, data, len, fleet->now_us);
}

static void
deliver_due(struct ticket_fleet *fleet)
{
	struct ticket_fleet_message message;
	guint i = 0;

	while (i < fleet->messages->len) {
		message = g_array_index(
		    fleet->messages, struct ticket_fleet_message, i);
		if (message.due_us > fleet->now_us ||
		    node_by_host(fleet, message.to)->paused) {
			i++;
			continue;
		}
		g_array_remove_index_fast(fleet->messages, i);
		deliver(fleet, &message);
		g_bytes_unref(message.payload);
	}
}

void
ticket_fleet_step(struct ticket_fleet *fleet)
{
	struct ticket_fleet_node *node;
	size_t i;

	fleet->now_us += FLEET_STEP_US;
	deliver_due(fleet);
	if (fleet->now_us % loom_tickets_ops.tick_us >= FLEET_STEP_US)
		return;
	for (i = 0; i < FLEET_NODES; i++) {
		node = &fleet->nodes[i];
		if (node->tickets != NULL && !node->paused)
			loom_tickets_ops.tick(node->tickets, fleet->now_us);
	}
}

bool
ticket_fleet_run_until_drained(
    struct ticket_fleet *fleet, struct ticket_fleet_node *node)
{
	uint64_t limit_us = fleet->now_us + 60 * LOOM_US_PER_S;

	while (!loom_tickets_drained(node->tickets)) {
		if (fleet->now_us > limit_us)
			return false;
		ticket_fleet_step(fleet);
	}
	return true;
}

struct loom_ticket
ticket_fleet_ticket(struct ticket_fleet_node *node)
{
	struct loom_ticket ticket = { 0 };
	char text[1][LOOM_TICKET_TEXT_MAX];

	if (loom_tickets_issue(
		node->tickets, FLEET_TEAM, FLEET_ROUTE, 1, text) == LOOM_OK)
		loom_ticket_parse(text[0], strlen(text[0]), &ticket);
	return ticket;
}

struct loom_ticket_begin
ticket_fleet_begin(struct ticket_fleet_node *node,
    const struct loom_ticket *ticket, const struct loom_ticket_waiter *waiter)
{
	static const struct loom_request_digest digest = { .head = "order" };
	struct loom_ticket_begin begin;

	loom_tickets_begin(node->tickets, ticket, FLEET_TEAM, FLEET_ROUTE,
	    &digest, waiter, &begin);
	return begin;
}
