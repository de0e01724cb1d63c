/*
 * Bad input at the control port of a running daemon: the protocol between
 * daemons is open to whoever can reach the port.
 */

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "inner/curve.h"
#include "loom/inner.h"
#include "support/test.h"
#include "support/testbed.h"

#define SEED 99
#define RANDOM_BYTES 4096
#define OVERSIZED_BYTES (4 * 1024 * 1024)
#define MESSAGE_MAX 512
#define LINGER_MS 1000

static const char key[] = "k-strangers-caller-secret";
static const char key_header[] = "Loom-Key: k-strangers-caller-secret";

static const struct testbed_service services[] = {
	{ .name = "sites", .hosts = 2, .slots = 16 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": 1,\n"
    "\"fleet\": { \"slots\": 2 }, \"teams\": [ { \"name\": \"crew\",\n"
    "  \"rate_per_s\": 100000, \"burst\": 100000, \"keys\": [\n"
    "  { \"id\": \"a\", \"sha256\": \"%s\" } ] } ],\n"
    "\"services\": [ { \"name\": \"sites\", \"slots\": 16 } ],\n"
    "\"routes\": [ { \"name\": \"site\", \"service\": \"sites\",\n"
    "  \"method\": \"GET\", \"path\": \"/sites\" } ] }";

static struct testbed testbed;

/* Who sends. */
enum sender {
	RAW, /* bytes over TCP */
	OPEN, /* a ZeroMQ socket without a key */
	OTHER_FLEET, /* one with another fleet's key */
	INSIDER, /* one with this fleet's key: a daemon gone wrong */
};

static const char *const drop_series[] = {
	"loom_inner_dropped_total{reason=\"truncated\"}",
	"loom_inner_dropped_total{reason=\"version\"}",
	"loom_inner_dropped_total{reason=\"malformed\"}",
	"loom_inner_dropped_total{reason=\"oversized\"}",
	"loom_inner_dropped_total{reason=\"replayed\"}",
};

static double
dropped(void)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(drop_series); i++)
		sum += testbed_metric(&testbed, 0, drop_series[i]);
	return sum;
}

static double
strangers(void)
{
	return testbed_metric(&testbed, 0, "loom_inner_strangers_total");
}

static void
send_raw(const void *bytes, size_t len)
{
	int fd = testbed_connect_control(&testbed, 0);

	TEST_CHECK(fd >= 0, "control port");
	TEST_CHECK(send(fd, bytes, len, MSG_NOSIGNAL) == (ssize_t)len, "send");
	close(fd);
}

struct count_wait {
	double (*count)(void);
	double before;
};

static bool
has_grown(void *arg)
{
	const struct count_wait *wait = arg;

	return wait->count() > wait->before;
}

/* Send by a ZeroMQ socket of its own; n times over the same connection. */
static void
send_zmq(enum sender sender, const void *bytes, size_t len, bool two_frames,
    struct count_wait *wait)
{
	uint8_t secret[LOOM_FLEET_SECRET_SIZE];
	struct loom_curve curve;
	void *context = zmq_ctx_new();
	void *socket = zmq_socket(context, ZMQ_DEALER);
	char *endpoint = g_strdup_printf(
	    "tcp://%s:%d", testbed.hosts[0].ip, TESTBED_PORT_CONTROL);
	int linger = LINGER_MS;

	loom_fleet_secret_parse(TESTBED_FLEET_SECRET, secret, NULL);
	if (sender == OTHER_FLEET)
		secret[0] ^= 1;
	loom_curve_derive(&curve, secret);
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	if (sender != OPEN)
		TEST_CHECK(loom_curve_client(&curve, socket), "curve");
	TEST_CHECK(zmq_connect(socket, endpoint) == 0, "connect");
	if (two_frames)
		zmq_send(socket, "x", 1, ZMQ_SNDMORE);
	zmq_send(socket, bytes, len, 0);
	if (wait != NULL)
		TEST_CHECK(
		    testbed_wait_condition(has_grown, wait), "not counted");
	zmq_close(socket);
	zmq_ctx_term(context);
	g_free(endpoint);
}

/* A message that a daemon would take. */
static size_t
good_message(uint8_t *buf, uint64_t sequence)
{
	const struct loom_message message = {
		.from = { .host_id = 77, .incarnation = 78 },
		.sequence = sequence,
		.type = 1,
		.payload = (const uint8_t *)"",
	};

	return loom_message_pack(&message, buf, MESSAGE_MAX);
}

static bool
serves(void *arg)
{
	const char *headers[] = { key_header, NULL };
	struct testbed_reply reply;
	bool ok;

	(void)arg;
	testbed_call(&testbed, 0, "GET", "/sites", headers, NULL, 0, &reply);
	ok = reply.status == 200;
	testbed_reply_clear(&reply);
	return ok;
}

static const struct {
	const char *name;
	enum sender sender;
	enum {
		RANDOM,
		GREETING,
		GOOD,
		SHORT,
		VERSION,
		TWO_FRAMES,
		BIG
	} what;
	double (*count)(void); /* what must grow; NULL for nothing */
} cases[] = {
	{ "random bytes", RAW, RANDOM, NULL },
	{ "half a greeting", RAW, GREETING, NULL },
	{ "no key", OPEN, GOOD, strangers },
	{ "another fleet's key", OTHER_FLEET, GOOD, strangers },
	{ "insider: random bytes", INSIDER, RANDOM, dropped },
	{ "insider: truncated", INSIDER, SHORT, dropped },
	{ "insider: another version", INSIDER, VERSION, dropped },
	{ "insider: two frames", INSIDER, TWO_FRAMES, dropped },
	{ "insider: oversized", INSIDER, BIG, NULL },
};

static size_t
make_bytes(size_t row, uint8_t *buf, GRand *rand)
{
	static const uint8_t greeting[] = { 0xff, 0, 0, 0, 0, 0, 0, 0, 1, 0x7f,
		3 };
	size_t len, i;

	switch (cases[row].what) {
	case RANDOM:
		for (i = 0; i < RANDOM_BYTES; i++)
			buf[i] = (uint8_t)g_rand_int(rand);
		return RANDOM_BYTES;
	case GREETING:
		memcpy(buf, greeting, sizeof(greeting));
		return sizeof(greeting);
	case BIG:
		memset(buf, 0, OVERSIZED_BYTES);
		return OVERSIZED_BYTES;
	case SHORT:
		return good_message(buf, row + 1) - 1;
	case VERSION:
		len = good_message(buf, row + 1);
		for (i = 0; i < len && buf[i] != LOOM_INNER_PROTOCOL; i++)
			continue;
		buf[i] = LOOM_INNER_PROTOCOL + 1;
		return len;
	case GOOD:
	case TWO_FRAMES:
		break;
	}
	return good_message(buf, row + 1);
}

/* One message is taken once, also when it comes again by another connection. */
static void
replay(uint8_t *buf)
{
	struct count_wait received = { .before = 0 };
	size_t len = good_message(buf, 1000);

	send_zmq(INSIDER, buf, len, false, NULL);
	received = (struct count_wait){ .count = dropped, .before = dropped() };
	send_zmq(INSIDER, buf, len, false, &received);
}

/*
 * Somebody who is no daemon of the fleet, or one that went wrong, sends to a
 * daemon's control port.  Who cannot prove the fleet's key is counted as a
 * stranger and none of it is read; what a daemon sends that does not decode
 * is dropped and counted.  Callers are served all the while.
 */
static void
test_strangers(void)
{
	char *text = g_strdup_printf(document_format, testbed_key_digest(key));
	uint8_t *buf = g_malloc(OVERSIZED_BYTES);
	GRand *rand = g_rand_new_with_seed(SEED);
	struct count_wait wait;
	pid_t daemon;
	size_t i, len;

	if (!TEST_CHECK(testbed_start(&testbed, services, 1, 1, text), "start"))
		goto out;
	daemon = testbed.hosts[0].daemon;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		len = make_bytes(i, buf, rand);
		wait.count = cases[i].count;
		wait.before = wait.count != NULL ? wait.count() : 0;
		printf("%s\n", cases[i].name);
		if (cases[i].sender == RAW)
			send_raw(buf, len);
		else
			send_zmq(cases[i].sender, buf, len,
			    cases[i].what == TWO_FRAMES,
			    wait.count != NULL ? &wait : NULL);
		TEST_CHECK(serves(NULL), "%s: no longer serves", cases[i].name);
	}
	replay(buf);
	TEST_CHECK(serves(NULL), "replay: no longer serves");
	TEST_CHECK(kill(daemon, 0) == 0, "the daemon is gone");
	printf(
	    "point - inner protocol: %zu kinds of bad input, %.0f strangers and "
	    "%.0f messages dropped and counted, daemon up\n",
	    G_N_ELEMENTS(cases) + 1, strangers(), dropped());
out:
	testbed_stop(&testbed);
	g_rand_free(rand);
	g_free(buf);
	g_free(text);
}

static const struct test_case tests[] = { { "strangers", test_strangers } };

TEST_MAIN("strangers", tests)
