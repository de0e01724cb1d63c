/*
 * The word about crashing requests between the daemons of a service.
 */

#include <string.h>

#include "inner/quarantine_codec.h"
#include "loom/clock.h"
#include "support/test.h"

#define SERVICE 7
#define NODES 3

struct net;

struct node {
	struct net *net;
	struct loom_self self;
	struct loom_sender sender;
	struct loom_quarantine *quarantine;
};

/* Messages arrive at once, or never. */
struct net {
	struct node nodes[NODES];
	struct loom_hosts *hosts;
	uint64_t now_us;
	bool cut;
	size_t bytes;
};

static void
net_send(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct node *from = arg;
	struct loom_from sender = { from->self.host_id, 1 };

	from->net->bytes += len;
	if (!from->net->cut)
		loom_quarantine_part.message(
		    from->net->nodes[host_id - 1].quarantine, &sender, type,
		    payload, len, from->net->now_us);
}

static void
net_init(struct net *net)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	struct loom_quarantine_config config = { 0 };
	struct loom_host host = { .service_id = SERVICE };
	struct node *node;
	uint64_t i;

	memset(net, 0, sizeof(*net));
	net->now_us = 100 * LOOM_US_PER_S;
	for (i = 1; i <= NODES; i++) {
		host.id = i;
		host.name[0] = (char)('0' + i);
		g_array_append_val(list, host);
	}
	net->hosts = loom_hosts_build(list);
	g_array_free(list, TRUE);
	for (i = 0; i < NODES; i++) {
		node = &net->nodes[i];
		node->net = net;
		node->self.host_id = i + 1;
		node->self.service_id = SERVICE;
		node->sender = (struct loom_sender){ net_send, node };
		config.self = &node->self;
		config.sender = &node->sender;
		node->quarantine = loom_quarantine_new(&config);
		loom_quarantine_part.hosts_changed(
		    node->quarantine, net->hosts, net->now_us);
	}
}

static void
net_clear(struct net *net)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		loom_quarantine_free(net->nodes[i].quarantine);
	loom_hosts_release(net->hosts);
}

static void
net_pass(struct net *net, uint64_t us)
{
	size_t i;

	net->now_us += us;
	for (i = 0; i < NODES; i++)
		loom_quarantine_part.tick(
		    net->nodes[i].quarantine, net->now_us);
}

static enum loom_quarantine_verdict
enter(struct node *node, const struct loom_fingerprint *fingerprint,
    struct loom_quarantine_entry **entry)
{
	return loom_quarantine_enter(
	    node->quarantine, fingerprint, node->net->now_us, entry);
}

static void
run_and_crash(struct node *node, const struct loom_fingerprint *fingerprint)
{
	struct loom_quarantine_entry *entry;

	CU_ASSERT_EQUAL_FATAL(
	    enter(node, fingerprint, &entry), LOOM_QUARANTINE_PASS);
	loom_quarantine_crashed(node->quarantine, entry, node->net->now_us);
	loom_quarantine_leave(
	    node->quarantine, entry, LOOM_QUARANTINE_BROKEN, node->net->now_us);
}

/*
 * A request crashes one host, then another, where its caller sends it again.
 * The third host refuses it for good, without a crash of its own, also when
 * the first word of it was lost; after half an hour it may be tried again.
 */
static void
test_word_spreads(void)
{
	struct loom_fingerprint fingerprint;
	struct loom_quarantine_entry *entry;
	struct net net;

	net_init(&net);
	loom_fingerprint(&fingerprint, 1, 2, "/order", 5, "hello", 5);
	run_and_crash(&net.nodes[0], &fingerprint);
	net_pass(&net, LOOM_US_PER_S);
	CU_ASSERT_EQUAL(
	    enter(&net.nodes[1], &fingerprint, &entry), LOOM_QUARANTINE_LATER);
	net_pass(&net, 10 * LOOM_US_PER_S);
	net.cut = true;
	run_and_crash(&net.nodes[1], &fingerprint);
	net_pass(&net, LOOM_US_PER_S);
	net.cut = false;
	net_pass(&net, 10 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL_FATAL(
	    enter(&net.nodes[2], &fingerprint, &entry), LOOM_QUARANTINE_REFUSE);
	CU_ASSERT_PTR_NULL(entry);
	CU_ASSERT_EQUAL(
	    loom_quarantine_count(net.nodes[2].quarantine, net.now_us), 1);
	net_pass(&net, 1900 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL(
	    loom_quarantine_count(net.nodes[2].quarantine, net.now_us), 0);
	CU_ASSERT_EQUAL_FATAL(
	    enter(&net.nodes[2], &fingerprint, &entry), LOOM_QUARANTINE_PASS);
	loom_quarantine_leave(net.nodes[2].quarantine, entry,
	    LOOM_QUARANTINE_ANSWERED, net.now_us);
	net_clear(&net);
}

/*
 * A refused caller is told when to come back: a moment before, it meets the
 * same refusal, at every host; at the end it runs.
 */
static void
test_end_is_known(void)
{
	struct loom_fingerprint fingerprint;
	struct loom_quarantine_entry *entry;
	struct net net;
	uint64_t wait_us;

	net_init(&net);
	loom_fingerprint(&fingerprint, 1, 2, "/order", 5, "hello", 5);
	run_and_crash(&net.nodes[0], &fingerprint);
	net_pass(&net, LOOM_US_PER_S);
	wait_us = loom_quarantine_wait_us(
	    net.nodes[1].quarantine, &fingerprint, net.now_us);
	CU_ASSERT(wait_us > 0);
	net_pass(&net, wait_us - 1);
	CU_ASSERT_EQUAL(
	    enter(&net.nodes[1], &fingerprint, &entry), LOOM_QUARANTINE_LATER);
	net_pass(&net, 1);
	run_and_crash(&net.nodes[1], &fingerprint);
	net_pass(&net, LOOM_US_PER_S);
	wait_us = loom_quarantine_wait_us(
	    net.nodes[2].quarantine, &fingerprint, net.now_us);
	CU_ASSERT(wait_us > 0);
	net_pass(&net, wait_us - 1);
	CU_ASSERT_EQUAL(
	    enter(&net.nodes[2], &fingerprint, &entry), LOOM_QUARANTINE_REFUSE);
	net_pass(&net, 1);
	CU_ASSERT_EQUAL_FATAL(
	    enter(&net.nodes[2], &fingerprint, &entry), LOOM_QUARANTINE_PASS);
	CU_ASSERT_EQUAL(loom_quarantine_wait_us(
			    net.nodes[2].quarantine, &fingerprint, net.now_us),
	    0);
	loom_quarantine_leave(net.nodes[2].quarantine, entry,
	    LOOM_QUARANTINE_ANSWERED, net.now_us);
	net_clear(&net);
}

/* One whole answer anywhere clears a suspect everywhere, or each host would
 * make innocent requests wait. */
static void
test_clearing_spreads(void)
{
	struct loom_fingerprint fingerprint;
	struct loom_quarantine_entry *entry, *other;
	struct net net;

	net_init(&net);
	loom_fingerprint(&fingerprint, 1, 2, "/order", 5, "hello", 5);
	run_and_crash(&net.nodes[0], &fingerprint);
	net_pass(&net, LOOM_US_PER_S);
	net_pass(&net, 10 * LOOM_US_PER_S);
	CU_ASSERT_EQUAL_FATAL(
	    enter(&net.nodes[1], &fingerprint, &entry), LOOM_QUARANTINE_PASS);
	CU_ASSERT_EQUAL(
	    enter(&net.nodes[1], &fingerprint, &other), LOOM_QUARANTINE_HOLD);
	loom_quarantine_leave(net.nodes[1].quarantine, entry,
	    LOOM_QUARANTINE_ANSWERED, net.now_us);
	net_pass(&net, LOOM_US_PER_S);
	run_and_crash(&net.nodes[2], &fingerprint);
	CU_ASSERT_EQUAL(
	    loom_quarantine_count(net.nodes[2].quarantine, net.now_us), 0);
	net_clear(&net);
}

/* A crash with a full upstream keeps the word about it small. */
static void
test_bytes(void)
{
	struct loom_quarantine_entry *entries[200];
	struct loom_fingerprint fingerprint;
	struct net net;
	unsigned i;

	net_init(&net);
	for (i = 0; i < 200; i++) {
		loom_fingerprint(&fingerprint, i, 2, "/order", 0, NULL, 0);
		enter(&net.nodes[0], &fingerprint, &entries[i]);
	}
	loom_quarantine_crashed(
	    net.nodes[0].quarantine, entries[0], net.now_us);
	for (i = 0; i < 200; i++)
		loom_quarantine_leave(net.nodes[0].quarantine, entries[i],
		    LOOM_QUARANTINE_BROKEN, net.now_us);
	for (i = 0; i < 50 * 60; i++)
		net_pass(&net, 20 * LOOM_US_PER_MS);
	/* To each of two peers, in a minute, of the 3 KB a second. */
	TEST_CHECK(net.bytes / 2 < 60 * 1024, "%zu bytes", net.bytes / 2);
	TEST_CHECK(net.bytes / 2 > 200 * 18, "%zu bytes", net.bytes / 2);
	net_clear(&net);
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

/* Seeded random changes of a message: never read past, never a level that
 * does not exist. */
static void
test_mutated(void)
{
	struct quarantine_told told[QUARANTINE_RECORDS_MAX] = {
		{ .level = SUSPECT_WEAK, .remaining_us = 5 },
		{ .level = SUSPECT_QUARANTINED, .remaining_us = 1 << 30 },
	};
	struct loom_random random = test_random_new(2);
	uint8_t message[QUARANTINE_MESSAGE_MAX], *copy;
	uint32_t i, j, n;
	size_t len, cut;

	len = quarantine_records_pack(told, 2, message);
	CU_ASSERT_EQUAL(quarantine_records_unpack(message, len, told), 2);
	for (i = 0; i < 20000; i++) {
		cut = len - loom_random_below(&random, 3);
		copy = g_memdup2(message, cut);
		copy[loom_random_below(&random, cut)] =
		    (uint8_t)random.next(random.arg);
		n = quarantine_records_unpack(copy, cut, told);
		for (j = 0; j < n; j++)
			TEST_CHECK(told[j].level > SUSPECT_NONE &&
				told[j].level <= SUSPECT_QUARANTINED,
			    "%u", i);
		g_free(copy);
	}
	test_random_free(&random);
}

static const struct test_case tests[] = {
	{ "word spreads", test_word_spreads },
	{ "the end is known", test_end_is_known },
	{ "clearing spreads", test_clearing_spreads },
	{ "bytes", test_bytes },
	{ "fingerprint", test_fingerprint },
	{ "mutated messages", test_mutated },
};

TEST_MAIN("quarantine", tests)
