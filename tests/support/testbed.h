#ifndef LOOM_TEST_TESTBED_H
#define LOOM_TEST_TESTBED_H

/*
 * Runs a small fleet of real processes for a test: one stand-in for the
 * platform and, for each host, a daemon and a stand-in for its upstream.  Each
 * host has its own loopback address 127.X.Y.HOST, where X and Y come from the
 * process id of the test.  Port numbers are therefore fixed, and test programs
 * that run at the same time don't collide.
 *
 * All child processes are killed when the test ends.  No function sleeps for a
 * fixed time: the wait functions poll a condition, for at most TESTBED_WAIT_MS
 * (three times that in testbed_wait_ready()).
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

struct testbed_service {
	const char *name;
	uint32_t hosts;
	const char *calls[5]; /* "METHOD PATH", NULL-terminated */
	uint32_t slots;
	uint32_t service_ms;
	const char *daemon; /* the daemons' program; NULL for loomd */
	const char *settings; /* more of the daemons', as members of the JSON
			       * object; NULL for none */
	bool without_upstreams; /* without upstream processes */
	bool keep_listen_socket; /* an upstream that crashes restarts on the
				  * listening socket that it kept open */
};

struct testbed_host {
	char name[64];
	char ip[32];
	const struct testbed_service *service; /* borrowed */
	uint32_t data_centre;
	bool leaving; /* the state in the platform's host list */
	bool unlisted; /* not in the platform's host list */
	bool evacuated; /* in the platform's host list */
	const char *platform_url; /* borrowed; NULL for the testbed's */
	/* PEM files, borrowed; NULL for plain HTTP.  Callers trust this
	 * certificate and no other. */
	const char *tls_key_file;
	const char *tls_cert_file;
	pid_t daemon;
	pid_t upstream;
};

struct testbed {
	struct test_standin platform;
	struct test_standin relay; /* pid 0 when no relay runs */
	char platform_via_relay[64]; /* the platform's URL on the relay */
	struct loom_public_key public_key;
	struct loom_secret_key secret_key;
	const struct testbed_service *services; /* borrowed */
	uint32_t nservices;
	uint32_t data_centres; /* hosts are assigned to them in turn */
	struct testbed_host hosts[TESTBED_HOSTS_MAX];
	uint32_t nhosts;
	char *dir; /* owned: with settings, logs, ledgers and dumps */
};

/* The response to one request. */
struct testbed_reply {
	int curl_code; /* CURLcode; 0 when the response is complete */
	long status;
	char *headers; /* owned */
	char *body; /* owned */
	size_t body_len;
	int code; /* value of Loom-Code; 0 when missing */
	char outcome[16]; /* value of Loom-Outcome; "" when missing */
	double total_ms;
};

struct testbed_request {
	uint32_t host;
	const char *method;
	const char *path;
	const char *const *headers; /* NULL-terminated, or NULL */
	const char *body; /* or NULL */
	size_t body_len;
	uint32_t give_up_ms; /* the caller's timeout; 0 for TESTBED_WAIT_MS */
};

/* A caller that reuses its connections; for one thread at a time. */
struct testbed_caller {
	struct testbed *testbed; /* borrowed */
	void *easy; /* owned */
};

/* Starts all processes, with the document signed and published as "test". False
 * when a process does not start or a daemon does not become ready. */
bool testbed_start(struct testbed *, const struct testbed_service *services,
    uint32_t nservices, uint32_t data_centres, const char *document);
void testbed_stop(struct testbed *);

/*
 * Like testbed_start(), with a relay between the hosts and between them and the
 * platform, so that a test can partition the network.  Callers and upstreams
 * connect to their daemon directly.
 */
bool testbed_start_relayed(struct testbed *,
    const struct testbed_service *services, uint32_t nservices,
    uint32_t data_centres, const char *document);

/* A network partition; tests/standin/relay.c describes the modes. */
struct testbed_partition {
	const bool *from; /* by host index; the platform is at nhosts */
	const bool *to;
	const char *mode; /* "hold", "drop" or "reset" */
	bool one_way; /* blocks only traffic from "from" to "to" */
	bool control_only; /* calls between the hosts pass */
};

/* Cuts accumulate until testbed_remove_partitions() removes all of them.  Both
 * functions return when the relay has applied the change. */
void testbed_partition(struct testbed *, const struct testbed_partition *);
void testbed_remove_partitions(struct testbed *);

/* Separates the first data centre and the platform from all other data centres.
 * With one_way, only traffic towards the first data centre and the platform is
 * blocked. */
void testbed_isolate_first_data_centre(
    struct testbed *, const char *mode, bool one_way);

/* Signs a manifest document and publishes it on the platform. */
void testbed_put_document(struct testbed *, const char *name, const char *text);
/* Publishes the host lists on the platform, from leaving, unlisted and
 * evacuated of each host. */
void testbed_publish_hosts(struct testbed *);

/* Calls the test interface of the platform stand-in.  The response body is
 * owned: g_free(). */
char *testbed_platform_call(
    struct testbed *, const char *method, const char *path);

/* Start a single process.  It is killed when the thread that started it ends,
 * so that thread must live as long as the process is needed. */
bool testbed_start_daemon(struct testbed *, uint32_t host);
bool testbed_start_upstream(struct testbed *, uint32_t host);
/* Sends a signal.  Unless it is SIGSTOP or SIGCONT, also waits for the process
 * to end and sets *pid to 0. */
void testbed_signal(pid_t *pid, int signal_number);

/* The path of a host's file; owned.  The suffix is "log", "upstream.log",
 * "ledger", "dump" or, for its settings, "json". */
char *testbed_file(const struct testbed *, uint32_t host, const char *suffix);

/* Polls until the daemon's health page responds with status 200. */
bool testbed_wait_ready(struct testbed *, uint32_t host);
/* Polls until the host's upstream accepts connections. */
bool testbed_wait_upstream(struct testbed *, uint32_t host);
/* Polls until the condition is true; false after TESTBED_WAIT_MS. */
bool testbed_wait_condition(bool (*condition)(void *arg), void *arg);

/*
 * Sends one request to a host's daemon, over a new connection.  headers is a
 * NULL-terminated array of "Name: value" or NULL; body may be NULL.  The reply
 * is owned: testbed_reply_clear().
 */
void testbed_call(struct testbed *, uint32_t host, const char *method,
    const char *path, const char *const *headers, const char *body,
    size_t body_len, struct testbed_reply *);
void testbed_reply_clear(struct testbed_reply *);

/* Like testbed_call(), over connections that are reused by later requests. */
void testbed_caller_init(struct testbed_caller *, struct testbed *);
void testbed_caller_clear(struct testbed_caller *);
void testbed_caller_call(struct testbed_caller *,
    const struct testbed_request *, struct testbed_reply *);

/* Sends raw bytes to a host's daemon and reads until the connection ends or the
 * response contains the text until (may be NULL).  Owned: g_free(). */
char *testbed_send_raw(struct testbed *, uint32_t host, const char *bytes,
    size_t len, const char *until);

/* Reads a connection to its end; owned: g_free().  closed is true when the peer
 * closed it in an orderly way, without a reset or a timeout. */
char *testbed_read_to_end(int fd, bool *closed);

/* Connects to the address for callers of a host's daemon; -1 when refused. */
int testbed_connect(struct testbed *, uint32_t host);
/* Connects to the control address of a host's daemon; -1 when refused. */
int testbed_connect_control(struct testbed *, uint32_t host);

/* A condition to wait for: the process of a pid_t * has ended.  It is then
 * reaped, and the pid is set to 0. */
bool testbed_has_exited(void *pid);

/* The resident set size of a process in KiB; -1 when it has ended. */
long testbed_memory_kb(pid_t);

/* The user and system CPU time of a process, in seconds. */
double testbed_cpu_s(pid_t);

/* The index of the first host of a service. */
uint32_t testbed_first_host(const struct testbed *, const char *service);

/* The number of lines in the ledgers of a service that begin with "EVENT ID";
 * id NULL for any. */
uint32_t testbed_ledger_count(const struct testbed *, const char *service,
    const char *event, const char *id);
/* Whether a request that any upstream received contains the text. */
bool testbed_dump_contains(const struct testbed *, const char *text);

/* The number of ledger lines of an event for each X-Test-Id: a hash table from
 * char * to GUINT_TO_POINTER; owned.  service NULL for all services. */
GHashTable *testbed_ledger(
    const struct testbed *, const char *service, const char *event);
/* The highest count in such a table; 0 when it is empty. */
uint32_t testbed_ledger_max(GHashTable *);

/* The value of a header in the last request to a host's upstream that had it;
 * owned, NULL when there was none. */
char *testbed_last_header(
    const struct testbed *, uint32_t host, const char *header);

/* Requests a ticket for a route from a host's daemon; owned, NULL when it gives
 * none. */
char *testbed_ticket(
    struct testbed *, uint32_t host, const char *key_header, const char *route);
/* The index of the host whose daemon executes the ticket; nhosts when the
 * ticket is invalid or names an unknown host. */
uint32_t testbed_ticket_executor(const struct testbed *, const char *ticket);

/* The version, with the digest, of the document "test" that a host's daemon
 * applies; 0 when the daemon does not respond or has none. */
int64_t testbed_active_version(
    struct testbed *, uint32_t host, char digest[32]);

/* The value of a series on a daemon's metrics page; -1 when it is missing. */
double testbed_metric(struct testbed *, uint32_t host, const char *series);

/* The SHA-256 of a caller's key in hex; static buffer. */
const char *testbed_key_digest(const char *key);

#endif
