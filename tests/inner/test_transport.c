/*
 * The transport over real sockets: messages in both directions, peers that fail
 * authentication, input that is not a message, and peers that are gone.
 */

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "loom/counter.h"
#include "loom/inner.h"
#include "support/test.h"
#include "support/wait.h"

struct node {
	struct loom_inner *inner;
	uint32_t received;
	size_t last_len;
	uint64_t last_from;
	char last_control[LOOM_ADDRESS_SIZE]; /* the last that was not empty */
	uint32_t with_address; /* messages that included the sender's address */
};

struct fixture {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct node a, b;
	bool limit_passed;
};

static void
on_message(void *arg, const struct loom_message *envelope, uint64_t now_us)
{
	struct node *node = arg;

	(void)now_us;
	node->received++;
	node->last_len = envelope->len;
	node->last_from = envelope->from.host_id;
	if (envelope->control[0] == '\0')
		return;
	node->with_address++;
	g_strlcpy(
	    node->last_control, envelope->control, sizeof(node->last_control));
}

static void
start_node(struct fixture *f, struct node *node, uint64_t id, uint8_t secret,
    const char *bind)
{
	struct loom_inner_options options = {
		.bind = bind,
		.self = { .host_id = id, .incarnation = id + 1000 },
		.max_connections = 2,
	};
	GError *error = NULL;

	memset(options.secret, secret, sizeof(options.secret));
	node->inner =
	    loom_inner_new(f->mem, f->ev, &options, on_message, node, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(node->inner);
}

static void
setup(struct fixture *f)
{
	*f = (struct fixture){ .limit_passed = false };
	f->mem = talloc_new(NULL);
	f->ev = tevent_context_init(NULL);
	start_node(f, &f->a, 1, 1, "127.0.0.1:0");
	start_node(f, &f->b, 2, 1, "127.0.0.1:0");
}

static void
teardown(struct fixture *f)
{
	talloc_free(f->mem);
	talloc_free(f->ev);
}

static int64_t
counter_value(const char *name, const char *labels)
{
	return loom_counter_value(loom_counter(name, labels, ""));
}

static void
test_both_ways(void)
{
	struct fixture f;

	setup(&f);
	CU_ASSERT(loom_inner_send(
	    f.a.inner, loom_inner_address(f.b.inner), 20, "hello", 5));
	WAIT(&f, f.b.received == 1);
	CU_ASSERT_EQUAL(f.b.last_from, 1);
	CU_ASSERT_EQUAL(f.b.last_len, 5);
	CU_ASSERT_STRING_EQUAL(f.b.last_control, loom_inner_address(f.a.inner));
	CU_ASSERT(
	    loom_inner_send(f.b.inner, f.b.last_control, 20, "answer", 6));
	WAIT(&f, f.a.received == 1);
	teardown(&f);
}

/*
 * Returns the timeout for unacknowledged data of this process's connection to
 * an address, in milliseconds, or 0 if none is set.
 */
static unsigned
unacknowledged_max_ms(const char *address)
{
	uint16_t port = (uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10);
	struct sockaddr_in peer = { 0 };
	unsigned limit_ms = 0;
	socklen_t len;
	int fd;

	for (fd = 0; fd < (int)sysconf(_SC_OPEN_MAX) && fd < 1024; fd++) {
		len = sizeof(peer);
		if (getpeername(fd, (struct sockaddr *)&peer, &len) != 0 ||
		    peer.sin_family != AF_INET || ntohs(peer.sin_port) != port)
			continue;
		len = sizeof(limit_ms);
		getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, &len);
		return limit_ms;
	}
	return 0;
}

/*
 * Guards against a daemon that keeps sending on a dead connection. Rate that
 * was lent over such a connection would be unavailable for as long.
 */
static void
test_dead_connection(void)
{
	struct fixture f;
	unsigned limit_ms;

	setup(&f);
	loom_inner_send(f.a.inner, loom_inner_address(f.b.inner), 20, "x", 1);
	WAIT(&f, f.b.received == 1);
	limit_ms = unacknowledged_max_ms(loom_inner_address(f.b.inner));
	TEST_CHECK(
	    limit_ms > 0 && limit_ms <= 1000, "found after %u ms", limit_ms);
	teardown(&f);
}

/*
 * Including the sender's address in every message would make messages a quarter
 * larger. A peer that missed the first message must still learn the address to
 * answer to.
 */
static void
test_address_is_told(void)
{
	struct fixture f;
	uint32_t i;

	setup(&f);
	for (i = 1; i <= 30; i++) {
		loom_inner_send(
		    f.a.inner, loom_inner_address(f.b.inner), 20, "x", 1);
		WAIT(&f, f.b.received == i);
		CU_ASSERT_EQUAL(f.b.with_address >= MIN(i, 8), true);
	}
	/* allows for more if the test takes longer than five seconds */
	TEST_CHECK(f.b.with_address <= 10, "%u of 30", f.b.with_address);
	CU_ASSERT_STRING_EQUAL(f.b.last_control, loom_inner_address(f.a.inner));
	teardown(&f);
}

/*
 * A thousand messages are in ZeroMQ's queue before the event loop runs, and the
 * descriptor signals them only once. A reader that takes one message per event
 * would stop after the first.
 */
static void
test_many_at_once(void)
{
	struct fixture f;
	uint32_t sent = 0, i;

	setup(&f);
	loom_inner_send(
	    f.a.inner, loom_inner_address(f.b.inner), 20, "first", 5);
	WAIT(&f, f.b.received == 1);
	for (i = 0; i < 1000; i++)
		sent += loom_inner_send(
		    f.a.inner, loom_inner_address(f.b.inner), 20, "x", 1);
	CU_ASSERT(sent >= 32);
	WAIT(&f, f.b.received == 1 + sent);
	teardown(&f);
}

static void
test_large(void)
{
	struct fixture f;
	uint8_t *data = g_malloc0(LOOM_PAYLOAD_MAX + 1);

	setup(&f);
	CU_ASSERT(!loom_inner_send(f.a.inner, loom_inner_address(f.b.inner), 20,
	    data, LOOM_PAYLOAD_MAX + 1));
	CU_ASSERT(loom_inner_send(f.a.inner, loom_inner_address(f.b.inner), 20,
	    data, LOOM_PAYLOAD_MAX));
	WAIT(&f, f.b.received == 1);
	CU_ASSERT_EQUAL(f.b.last_len, LOOM_PAYLOAD_MAX);
	g_free(data);
	teardown(&f);
}

/*
 * A peer is gone. Sending to it must not block, and the number of messages
 * queued for it must stay bounded. Other peers must still be reachable within
 * the limit on open connections.
 */
static void
test_peer_gone(void)
{
	struct fixture f;
	char gone[LOOM_ADDRESS_SIZE];
	uint32_t i, accepted = 0;

	setup(&f);
	g_strlcpy(gone, loom_inner_address(f.b.inner), sizeof(gone));
	TALLOC_FREE(f.b.inner);
	for (i = 0; i < 1000; i++)
		accepted += loom_inner_send(f.a.inner, gone, 20, "x", 1);
	TEST_CHECK(accepted <= 64, "%u accepted", accepted);
	CU_ASSERT(loom_inner_send(f.a.inner, "127.0.0.1:1", 20, "x", 1));
	start_node(&f, &f.b, 2, 1, "127.0.0.1:0");
	CU_ASSERT(loom_inner_send(
	    f.a.inner, loom_inner_address(f.b.inner), 20, "x", 1));
	WAIT(&f, f.b.received == 1);
	CU_ASSERT_EQUAL(counter_value("loom_inner_connections_open", NULL), 2);
	teardown(&f);
}

/* A peer restarts at the same address. Later messages must reach it. */
static void
test_peer_restarts(void)
{
	struct fixture f;
	char address[LOOM_ADDRESS_SIZE];

	setup(&f);
	g_strlcpy(address, loom_inner_address(f.b.inner), sizeof(address));
	loom_inner_send(f.a.inner, address, 20, "x", 1);
	WAIT(&f, f.b.received == 1);
	TALLOC_FREE(f.b.inner);
	start_node(&f, &f.b, 3, 1, address);
	while (f.b.received < 2 && !f.limit_passed) {
		loom_inner_send(f.a.inner, address, 20, "x", 1);
		tevent_loop_once(f.ev);
	}
	CU_ASSERT(f.b.received >= 2);
	teardown(&f);
}

/*
 * A process without the fleet's secret sends to the control port: with another
 * secret, with the fleet's public key but its own key pair, or without CURVE.
 * No component may receive any of its messages.
 */
static void
test_strangers(void)
{
	static const char label[] = "loom control curve 1";
	uint8_t secret[LOOM_FLEET_SECRET_SIZE], seed[32], pk[32], sk[32];
	char fleet_pk[41], own_pk[41], own_sk[41], endpoint[80];
	struct fixture f;
	struct node stranger = { .received = 0 };
	void *zmq, *dealer;
	int64_t before;
	int linger = 0;

	setup(&f);
	before = counter_value("loom_inner_strangers_total", NULL);
	start_node(&f, &stranger, 9, 2, "127.0.0.1:0");
	loom_inner_send(
	    stranger.inner, loom_inner_address(f.b.inner), 20, "x", 1);
	WAIT(&f, counter_value("loom_inner_strangers_total", NULL) > before);
	TALLOC_FREE(stranger.inner);

	memset(secret, 1, sizeof(secret));
	crypto_generichash(seed, sizeof(seed), (const uint8_t *)label,
	    sizeof(label) - 1, secret, sizeof(secret));
	crypto_box_seed_keypair(pk, sk, seed);
	zmq_z85_encode(fleet_pk, pk, sizeof(pk));
	zmq_curve_keypair(own_pk, own_sk);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s",
	    loom_inner_address(f.b.inner));
	zmq = zmq_ctx_new();
	dealer = zmq_socket(zmq, ZMQ_DEALER);
	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, fleet_pk, 41);
	zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY, own_pk, 41);
	zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY, own_sk, 41);
	before = counter_value("loom_inner_strangers_total", NULL);
	zmq_connect(dealer, endpoint);
	zmq_send(dealer, "x", 1, ZMQ_DONTWAIT);
	WAIT(&f, counter_value("loom_inner_strangers_total", NULL) > before);
	zmq_close(dealer);

	dealer = zmq_socket(zmq, ZMQ_DEALER);
	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	before = counter_value("loom_inner_strangers_total", NULL);
	zmq_connect(dealer, endpoint);
	zmq_send(dealer, "x", 1, ZMQ_DONTWAIT);
	WAIT(&f, counter_value("loom_inner_strangers_total", NULL) > before);
	zmq_close(dealer);
	zmq_ctx_term(zmq);
	CU_ASSERT_EQUAL(f.b.received, 0);
	loom_inner_send(f.a.inner, loom_inner_address(f.b.inner), 20, "x", 1);
	WAIT(&f, f.b.received == 1);
	teardown(&f);
}

/*
 * A process that has the fleet's key but runs another version or is faulty
 * sends input that is not a valid message.
 */
static void
test_bad_messages(void)
{
	static const struct {
		const char *data;
		size_t len;
		const char *reason;
	} cases[] = {
		{ "", 0, "reason=\"truncated\"" },
		{ "\x01", 1, "reason=\"truncated\"" },
		{ "\x07", 1, "reason=\"version\"" },
		{ "\xdd\xff\xff\xff\xff", 5, "reason=\"malformed\"" },
		{ "garbage", 7, "reason=\"version\"" },
	};
	static const char label[] = "loom control curve 1";
	uint8_t secret[LOOM_FLEET_SECRET_SIZE], seed[32], pk[32], sk[32];
	struct fixture f;
	char endpoint[80];
	void *zmq, *dealer;
	int64_t before;
	int linger = 0;
	size_t i;

	setup(&f);
	memset(secret, 1, sizeof(secret));
	crypto_generichash(seed, sizeof(seed), (const uint8_t *)label,
	    sizeof(label) - 1, secret, sizeof(secret));
	crypto_box_seed_keypair(pk, sk, seed);
	zmq = zmq_ctx_new();
	dealer = zmq_socket(zmq, ZMQ_DEALER);
	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, pk, 32);
	zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY, pk, 32);
	zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY, sk, 32);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s",
	    loom_inner_address(f.b.inner));
	zmq_connect(dealer, endpoint);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		before =
		    counter_value("loom_inner_dropped_total", cases[i].reason);
		zmq_send(dealer, cases[i].data, cases[i].len, ZMQ_DONTWAIT);
		WAIT(&f,
		    counter_value("loom_inner_dropped_total", cases[i].reason) >
			before);
	}
	CU_ASSERT_EQUAL(f.b.received, 0);
	zmq_close(dealer);
	zmq_ctx_term(zmq);
	teardown(&f);
}

static void
test_secret(void)
{
	static const struct {
		const char *hex;
		bool ok;
	} cases[] = {
		{ "", false },
		{ "00", false },
		{ "000102030405060708090a0b0c0d0e0f"
		  "101112131415161718191a1b1c1d1e1f",
		    true },
		{ "000102030405060708090a0b0c0d0e0f"
		  "101112131415161718191a1b1c1d1e1g",
		    false },
		{ "000102030405060708090a0b0c0d0e0f"
		  "101112131415161718191a1b1c1d1e1f00",
		    false },
	};
	uint8_t secret[LOOM_FLEET_SECRET_SIZE];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		TEST_CHECK(loom_fleet_secret_parse(
			       cases[i].hex, secret, NULL) == cases[i].ok,
		    "%s", cases[i].hex);
}

static void
test_bind_fails(void)
{
	struct loom_inner_options options = { .bind = "256.0.0.1:1" };
	GError *error = NULL;
	struct fixture f;

	setup(&f);
	CU_ASSERT_PTR_NULL(
	    loom_inner_new(f.mem, f.ev, &options, on_message, &f.a, &error));
	CU_ASSERT_EQUAL(error->code, LOOM_INNER_SOCKET);
	g_error_free(error);
	teardown(&f);
}

/*
 * A host has several addresses. Its outgoing connections must come from the
 * address that its operator configured, by which other hosts identify it.
 */
static void
test_source(void)
{
	struct loom_inner_options options = {
		.bind = "127.0.0.1:0",
		.source = "127.0.0.9",
		.self = { .host_id = 3, .incarnation = 4 },
	};
	struct sockaddr_in from = { .sin_family = AF_INET };
	socklen_t size = sizeof(from);
	char address[LOOM_ADDRESS_SIZE], ip[INET_ADDRSTRLEN];
	struct loom_inner *inner;
	struct fixture f;
	int fd, accepted;

	setup(&f);
	from.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_FATAL(bind(fd, (struct sockaddr *)&from, size) == 0);
	CU_ASSERT_FATAL(listen(fd, 1) == 0);
	getsockname(fd, (struct sockaddr *)&from, &size);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
	    (unsigned)ntohs(from.sin_port));
	inner = loom_inner_new(f.mem, f.ev, &options, on_message, &f.a, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(inner);
	loom_inner_send(inner, address, 20, "hello", 5);
	accepted = accept(fd, (struct sockaddr *)&from, &size);
	inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
	CU_ASSERT_STRING_EQUAL(ip, options.source);
	close(accepted);
	close(fd);
	teardown(&f);
}

static const struct test_case tests[] = {
	{ "both ways", test_both_ways },
	{ "dead connection", test_dead_connection },
	{ "address is told", test_address_is_told },
	{ "many at once", test_many_at_once },
	{ "large", test_large },
	{ "peer gone", test_peer_gone },
	{ "peer restarts", test_peer_restarts },
	{ "strangers", test_strangers },
	{ "bad messages", test_bad_messages },
	{ "secret", test_secret },
	{ "bind fails", test_bind_fails },
	{ "source address", test_source },
};

TEST_MAIN("transport", tests)
