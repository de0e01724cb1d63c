/* Reports about crashing requests between the daemons of a service. */

#include <string.h>

#include "inner/quarantine_codec.h"
#include "loom/clock.h"
#include "support/test.h"

#define SERVICE 7
#define NODES 3

struct network;

struct node {
	struct network *network;
	struct loom_self self;
	struct loom_sender sender;
	struct loom_quarantine *quarantine;
};

/* Messages are delivered immediately or dropped. */
struct network {
	struct node nodes[NODES];
	struct loom_hosts *hosts;
	uint64_t now_us;
	bool drop_messages;
	size_t bytes;
};

static void
network_send(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct node *from = arg;
	struct loom_message_source sender = { from->self.host_id, 1 };

	from->network->bytes += len;
	if (!from->network->drop_messages)
		loom_quarantine_ops.message(
		    from->network->nodes[host_id - 1].quarantine, &sender, type,
		    payload, len, from->network->now_us);
}

static void
network_init(struct network *network)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	struct loom_quarantine_config config = { 0 };
	struct loom_host host = { .service_id = SERVICE };
	struct node *node;
	uint64_t i;

	memset(network, 0, sizeof(*network));
	network->now_us = 100 * LOOM_US_PER_S;
	for (i = 1; i <= NODES; i++) {
		host.id = i;
		host.name[0] = (char)('0' + i);
		g_array_append_val(list, host);
	}
	network->hosts = loom_hosts_build(list);
	g_array_free(list, TRUE);
	for (i = 0; i < NODES; i++) {
		node = &network->nodes[i];
		node->network = network;
		node->self.host_id = i + 1;
		node->self.service_id = SERVICE;
		node->sender = (struct loom_sender){ network_send, node };
		config.self = &node->self;
		config.sender = &node->sender;
		node->quarantine = loom_quarantine_new(&config);
		loom_quarantine_ops.hosts_changed(
		    node->quarantine, network->hosts, network->now_us);
	}
}

static void
network_clear(struct network *network)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		loom_quarantine_free(network->nodes[i].quarantine);
	loom_hosts_release(network->hosts);
}

static void
network_advance(struct network *network, uint64_t us)
{
	size_t i;

	network->now_us += us;
	for (i = 0; i < NODES; i++)
		loom_quarantine_ops.tick(
		    network->nodes[i].quarantine, network->now_us);
}

static enum loom_quarantine_verdict
enter(struct node *node, const struct loom_fingerprint *fingerprint,
    struct loom_quarantine_entry **entry)
{
	return loom_quarantine_enter(
	    node->quarantine, fingerprint, node->network->now_us, entry);
}

static void
run_and_crash(struct node *node, const struct loom_fingerprint *fingerprint)
{
	struct loom_quarantine_entry *entry;

	CU_ASSERT_EQUAL_FATAL(
	    enter(node, fingerprint, &entry), LOOM_QUARANTINE_PASS);
	loom_quarantine_crashed(node->quarantine, entry, node->network->now_us);
	loom_quarantine_leave(node->quarantine, entry,
	    LOOM_QUARANTINE_INCOMPLETE, node->network->now_us);
}

/*
 * A request crashes one host, then another to which its caller sends it again.
 * The third host refuses it without a crash of its own, even if the first
 * report was lost. After half an hour the request may be tried again.
 */
static void
test_reports_reach_peers(void)
{
	struct loom_fingerprint fingerprint;
	struct loom_quarantine_entry *entry;
	struct network network;

	network_init(&network);
	loom_fingerprint(&fingerprint, 1, 2, "/order", 5, "hello", 5);
	run_and_crash(&network.nodes[0], &fingerprint);
	network_advance(&network, LOOM_US_PER_S);
	CU_ASSERT_EQUAL(enter(&network.nodes[1], &fingerprint, &entry),
	    LOOM_QUARANTINE_RETRY_LATER);
	network_advance(&network, 10 * LOOM_US_PER_S);
	network.drop_messages = true;
	run_and_crash(&network.nodes[1], &fingerprint);
	network_advance(&network, LOOM_US_PER_S);
	network.drop_messages = false;
	network_advance(&network, 10 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL_FATAL(enter(&network.nodes[2], &fingerprint, &entry),
	    LOOM_QUARANTINE_REFUSE);
	CU_ASSERT_PTR_NULL(entry);
	CU_ASSERT_EQUAL(
	    loom_quarantine_count(network.nodes[2].quarantine, network.now_us),
	    1);
	network_advance(&network, 1900 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL(
	    loom_quarantine_count(network.nodes[2].quarantine, network.now_us),
	    0);
	CU_ASSERT_EQUAL_FATAL(enter(&network.nodes[2], &fingerprint, &entry),
	    LOOM_QUARANTINE_PASS);
	loom_quarantine_leave(network.nodes[2].quarantine, entry,
	    LOOM_QUARANTINE_ANSWERED, network.now_us);
	network_clear(&network);
}

/*
 * A refused caller is told when to retry. Immediately before that time, it is
 * refused at every host in the same way; at that time its request runs.
 */
static void
test_wait_time(void)
{
	struct loom_fingerprint fingerprint;
	struct loom_quarantine_entry *entry;
	struct network network;
	uint64_t wait_us;

	network_init(&network);
	loom_fingerprint(&fingerprint, 1, 2, "/order", 5, "hello", 5);
	run_and_crash(&network.nodes[0], &fingerprint);
	network_advance(&network, LOOM_US_PER_S);
	wait_us = loom_quarantine_wait_us(
	    network.nodes[1].quarantine, &fingerprint, network.now_us);
	CU_ASSERT(wait_us > 0);
	network_advance(&network, wait_us - 1);
	CU_ASSERT_EQUAL(enter(&network.nodes[1], &fingerprint, &entry),
	    LOOM_QUARANTINE_RETRY_LATER);
	network_advance(&network, 1);
	run_and_crash(&network.nodes[1], &fingerprint);
	network_advance(&network, LOOM_US_PER_S);
	wait_us = loom_quarantine_wait_us(
	    network.nodes[2].quarantine, &fingerprint, network.now_us);
	CU_ASSERT(wait_us > 0);
	network_advance(&network, wait_us - 1);
	CU_ASSERT_EQUAL(enter(&network.nodes[2], &fingerprint, &entry),
	    LOOM_QUARANTINE_REFUSE);
	network_advance(&network, 1);
	CU_ASSERT_EQUAL_FATAL(enter(&network.nodes[2], &fingerprint, &entry),
	    LOOM_QUARANTINE_PASS);
	CU_ASSERT_EQUAL(loom_quarantine_wait_us(network.nodes[2].quarantine,
			    &fingerprint, network.now_us),
	    0);
	loom_quarantine_leave(network.nodes[2].quarantine, entry,
	    LOOM_QUARANTINE_ANSWERED, network.now_us);
	network_clear(&network);
}

/*
 * A complete answer at one host clears a suspect at all hosts; otherwise
 * innocent requests would have to wait at each host.
 */
static void
test_clearing_reaches_peers(void)
{
	struct loom_fingerprint fingerprint;
	struct loom_quarantine_entry *entry, *other;
	struct network network;

	network_init(&network);
	loom_fingerprint(&fingerprint, 1, 2, "/order", 5, "hello", 5);
	run_and_crash(&network.nodes[0], &fingerprint);
	network_advance(&network, LOOM_US_PER_S);
	network_advance(&network, 10 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL_FATAL(enter(&network.nodes[1], &fingerprint, &entry),
	    LOOM_QUARANTINE_PASS);
	CU_ASSERT_EQUAL(enter(&network.nodes[1], &fingerprint, &other),
	    LOOM_QUARANTINE_HOLD);
	loom_quarantine_leave(network.nodes[1].quarantine, entry,
	    LOOM_QUARANTINE_ANSWERED, network.now_us);
	network_advance(&network, LOOM_US_PER_S);
	run_and_crash(&network.nodes[2], &fingerprint);
	CU_ASSERT_EQUAL(
	    loom_quarantine_count(network.nodes[2].quarantine, network.now_us),
	    0);
	network_clear(&network);
}

/* After a crash with many calls in flight, the reports must stay small. */
static void
test_report_size(void)
{
	struct loom_quarantine_entry *entries[200];
	struct loom_fingerprint fingerprint;
	struct network network;
	unsigned i;

	network_init(&network);
	for (i = 0; i < 200; i++) {
		loom_fingerprint(&fingerprint, i, 2, "/order", 0, NULL, 0);
		enter(&network.nodes[0], &fingerprint, &entries[i]);
	}
	loom_quarantine_crashed(
	    network.nodes[0].quarantine, entries[0], network.now_us);
	for (i = 0; i < 200; i++)
		loom_quarantine_leave(network.nodes[0].quarantine, entries[i],
		    LOOM_QUARANTINE_INCOMPLETE, network.now_us);
	for (i = 0; i < 50 * 60; i++)
		network_advance(&network, 20 * LOOM_US_PER_MS);
	/*
	 * Bytes to each of two peers in one minute: at most a third of the 3 KB
	 * per second that control messages may use.
	 */
	TEST_CHECK(
	    network.bytes / 2 < 60 * 1024, "%zu bytes", network.bytes / 2);
	TEST_CHECK(
	    network.bytes / 2 > 200 * 18, "%zu bytes", network.bytes / 2);
	network_clear(&network);
}

/* What distinguishes two requests, and what does not. */
static void
test_fingerprint(void)
{
	static char large[LOOM_FINGERPRINT_PREFIX_BYTES + 1];
	struct loom_fingerprint base, same, other[6];
	size_t i;

	loom_fingerprint(&base, 1, 2, "/a", 9, "body", 4);
	loom_fingerprint(&same, 1, 2, "/a", 9, "body", 4);
	CU_ASSERT_EQUAL(memcmp(&base, &same, sizeof(base)), 0);
	loom_fingerprint(&other[0], 2, 2, "/a", 9, "body", 4);
	loom_fingerprint(&other[1], 1, 3, "/a", 9, "body", 4);
	loom_fingerprint(&other[2], 1, 2, "/b", 9, "body", 4);
	loom_fingerprint(&other[3], 1, 2, "/a", 8, "body", 4);
	loom_fingerprint(&other[4], 1, 2, "/a", 9, "bode", 4);
	loom_fingerprint(&other[5], 1, 2, "/a", 9, "bodyx", 5);
	for (i = 0; i < G_N_ELEMENTS(other); i++)
		TEST_CHECK(
		    memcmp(&base, &other[i], sizeof(base)) != 0, "%zu", i);
	loom_fingerprint(&base, 1, 2, "/a", 9, large, sizeof(large) - 1);
	loom_fingerprint(&same, 1, 2, "/a", 9, large, sizeof(large));
	CU_ASSERT_EQUAL(memcmp(&base, &same, sizeof(base)), 0);
}

/*
 * Random changes of a message, from a fixed seed: the decoder must not read
 * past the end or return an unknown level.
 */
static void
test_mutated(void)
{
	struct quarantine_report records[QUARANTINE_RECORDS_MAX] = {
		{ .level = SUSPECT_WEAK, .remaining_us = 5 },
		{ .level = SUSPECT_QUARANTINED, .remaining_us = 1 << 30 },
	};
	struct loom_random random = test_random_new(2);
	uint8_t message[QUARANTINE_MESSAGE_MAX], *copy;
	uint32_t i, j, n;
	size_t len, short_len;

	len = quarantine_records_pack(records, 2, message);
	CU_ASSERT_EQUAL(quarantine_records_unpack(message, len, records), 2);
	for (i = 0; i < 20000; i++) {
		short_len = len - loom_random_below(&random, 3);
		copy = g_memdup2(message, short_len);
		copy[loom_random_below(&random, short_len)] =
		    (uint8_t)random.next(random.arg);
		n = quarantine_records_unpack(copy, short_len, records);
		for (j = 0; j < n; j++)
			TEST_CHECK(records[j].level > SUSPECT_NONE &&
				records[j].level <= SUSPECT_QUARANTINED,
			    "%u", i);
		g_free(copy);
	}
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "reports reach peers", test_reports_reach_peers },
	{ "wait time", test_wait_time },
	{ "clearing reaches peers", test_clearing_reaches_peers },
	{ "report size", test_report_size },
	{ "fingerprint", test_fingerprint },
	{ "mutated messages", test_mutated },
};

TEST_MAIN("quarantine", tests)
