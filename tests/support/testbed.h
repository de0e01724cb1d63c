#ifndef LOOM_TEST_TESTBED_H
#define LOOM_TEST_TESTBED_H

/*
 * A small fleet of real processes: a platform stand-in and, for each host, an
 * upstream stand-in with its daemon.  Each host has a loopback address of its
 * own (127.X.SERVICE.HOST), so that ports are fixed and never collide.
 *
 * All children die with the test.  Nothing in here waits for a time: the
 * wait functions poll a condition with a generous limit.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "loom/sign.h"
#include "support/standin.h"

#define TESTBED_HOSTS_MAX 250
#define TESTBED_WAIT_MS 20000
#define TESTBED_PORT_CALLERS 7000
#define TESTBED_PORT_CONTROL 7200
#define TESTBED_PORT_UPSTREAM 8000
#define TESTBED_FLEET_SECRET               \
	"000102030405060708090a0b0c0d0e0f" \
	"101112131415161718191a1b1c1d1e1f"

/* One service of the testbed. */
struct testbed_service {
	const char *name;
	uint32_t hosts;
	const char *calls[5]; /* "METHOD PATH", NULL-terminated */
	uint32_t slots;
	uint32_t service_ms;
	bool daemons_only; /* no upstream stands beside them */
	bool held_socket; /* an upstream that crashes is back at once */
};

struct testbed_host {
	char name[64];
	char ip[32];
	const struct testbed_service *service; /* borrowed */
	uint32_t data_centre;
	bool leaving; /* as the platform lists it */
	bool unlisted;
	const char *platform_url; /* borrowed; NULL for the testbed's */
	/* PEM files, borrowed; NULL for plain HTTP.  Callers trust the
	 * certificate alone. */
	const char *tls_key_file;
	const char *tls_cert_file;
	pid_t daemon;
	pid_t upstream;
};

struct testbed {
	struct test_standin platform;
	struct test_standin relay; /* pid 0 without one */
	char platform_via_relay[64]; /* its URL for daemons */
	struct loom_public_key public_key;
	struct loom_secret_key secret_key;
	const struct testbed_service *services; /* borrowed */
	uint32_t nservices;
	uint32_t data_centres; /* hosts go to them in turn */
	struct testbed_host hosts[TESTBED_HOSTS_MAX];
	uint32_t nhosts;
	char *dir; /* owned: settings, logs and ledgers */
};

/* A whole answer. */
struct testbed_reply {
	int curl; /* CURLcode; 0 for a whole answer */
	long status;
	char *headers; /* owned */
	char *body; /* owned */
	size_t body_len;
	int code; /* of Loom-Code, 0 for none */
	char outcome[16]; /* of Loom-Outcome, "" for none */
	double total_ms;
};

/* One request of a caller. */
struct testbed_request {
	uint32_t host;
	const char *method;
	const char *path;
	const char *const *headers; /* NULL-terminated, or NULL */
	const char *body; /* or NULL */
	size_t body_len;
	uint32_t give_up_ms; /* the caller goes away then; 0 for never */
};

/* A caller that keeps its connections; for one thread at a time. */
struct testbed_caller {
	struct testbed *testbed; /* borrowed */
	void *easy; /* owned */
};

/* Start everything; the document is signed and put.  False when some part
 * does not come up. */
bool testbed_start(struct testbed *, const struct testbed_service *services,
    uint32_t nservices, uint32_t data_centres, const char *document);
void testbed_stop(struct testbed *);

/*
 * The same with a relay between the hosts, and between them and the platform,
 * so that a test can cut them off from each other.  Callers and upstreams
 * reach their daemon directly.
 */
bool testbed_start_relayed(struct testbed *,
    const struct testbed_service *services, uint32_t nservices,
    uint32_t data_centres, const char *document);

/* What a cut does; tests/standin/relay.c has the words. */
struct testbed_cut {
	const bool *from; /* hosts by their index, the platform at nhosts */
	const bool *to;
	const char *mode; /* "hold", "drop" or "reset" */
	bool one_way; /* only what from sends to to */
};

/* Cuts add up until they are healed.  Both return when the relay has them. */
void testbed_cut(struct testbed *, const struct testbed_cut *);
void testbed_heal(struct testbed *);

/* Cut the first data centre, with the platform, off from all others; one way:
 * what the first sends still arrives. */
void testbed_cut_halves(struct testbed *, const char *mode, bool one_way);

/* Sign a document and put it on the platform. */
void testbed_put_document(struct testbed *, const char *name, const char *text);
/* Put the host lists as the hosts' marks say. */
void testbed_put_hosts(struct testbed *);

/* A call to the platform stand-in's own side; owned, g_free. */
char *testbed_platform_call(
    struct testbed *, const char *method, const char *path);

/* Single processes.  They die with the thread that started them: start none
 * from a thread that ends. */
bool testbed_start_daemon(struct testbed *, uint32_t host);
bool testbed_start_upstream(struct testbed *, uint32_t host);
void testbed_kill(
    pid_t *pid, int signal_number); /* and reap, for deadly ones */

/* Owned: the path of a host's log, ledger, dump or settings ("json"). */
char *testbed_file(const struct testbed *, uint32_t host, const char *suffix);

/* Poll until the daemon's health page says ready. */
bool testbed_wait_ready(struct testbed *, uint32_t host);
/* Poll until the host's upstream takes connections. */
bool testbed_wait_upstream(struct testbed *, uint32_t host);
/* Poll until the condition holds; false after TESTBED_WAIT_MS. */
bool testbed_wait_condition(bool (*condition)(void *arg), void *arg);

/*
 * One request to a host's daemon.  headers is NULL-terminated "Name: value",
 * may be NULL; body may be NULL.  The reply is owned: testbed_reply_clear().
 */
void testbed_call(struct testbed *, uint32_t host, const char *method,
    const char *path, const char *const *headers, const char *body,
    size_t body_len, struct testbed_reply *);
void testbed_reply_clear(struct testbed_reply *);

/* The same over connections that are kept from call to call. */
void testbed_caller_init(struct testbed_caller *, struct testbed *);
void testbed_caller_clear(struct testbed_caller *);
void testbed_caller_call(struct testbed_caller *,
    const struct testbed_request *, struct testbed_reply *);

/* Send raw bytes to a host's daemon and read until it closes, or until the
 * answer holds until (may be NULL).  Owned, g_free. */
char *testbed_raw(struct testbed *, uint32_t host, const char *bytes,
    size_t len, const char *until);

/* All that comes on a connection; owned, g_free.  closed says that it ended in
 * order, without a reset and before the limit. */
char *testbed_read_to_end(int fd, bool *closed);

/* A connection to a host's daemon; -1 when it is refused. */
int testbed_connect(struct testbed *, uint32_t host);
/* The same to its control address. */
int testbed_connect_control(struct testbed *, uint32_t host);

/* The resident memory of a process in KiB; -1 when it is gone. */
long testbed_memory_kb(pid_t);

/* The processor time that a process has used, in seconds. */
double testbed_cpu_s(pid_t);

/* The first host of a service. */
uint32_t testbed_host_of(const struct testbed *, const char *service);

/* How many lines of all ledgers of a service begin with "EVENT ID"; id NULL
 * for any. */
uint32_t testbed_ledger_count(const struct testbed *, const char *service,
    const char *event, const char *id);
/* Whether what a service's upstreams received holds the text. */
bool testbed_dump_contains(const struct testbed *, const char *text);

/* How many lines of each request are of that event, by X-Test-Id: a table of
 * (char *, GUINT_TO_POINTER); owned.  service NULL for all of them. */
GHashTable *testbed_ledger(
    const struct testbed *, const char *service, const char *event);
/* The greatest of these counts; 0 for an empty table. */
uint32_t testbed_ledger_most(GHashTable *);

/* The last value of a header that a host's upstream received; owned, NULL
 * when there was none. */
char *testbed_dump_last(
    const struct testbed *, uint32_t host, const char *header);

/* Take a ticket for a route through a host's daemon; owned, NULL when it is
 * refused. */
char *testbed_ticket(
    struct testbed *, uint32_t host, const char *key_header, const char *route);
/* The host whose daemon executes the ticket; nhosts when it is none. */
uint32_t testbed_ticket_host(const struct testbed *, const char *ticket);

/* The version and digest of the document "test" in force at a host; 0 when it
 * does not answer. */
int64_t testbed_in_force(struct testbed *, uint32_t host, char digest[32]);

/* A number from a daemon's metrics page; -1 when it is not there. */
double testbed_metric(struct testbed *, uint32_t host, const char *series);

/* The SHA-256 of a caller's key in hex; static buffer. */
const char *testbed_key_digest(const char *key);

#endif
