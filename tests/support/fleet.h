#ifndef LOOM_TEST_FLEET_H
#define LOOM_TEST_FLEET_H

/*
 * A small fleet of real processes: a platform stand-in and, for each host, an
 * upstream stand-in with its daemon.  Each host has a loopback address of its
 * own (127.X.SERVICE.HOST), so that ports are fixed and never collide.
 *
 * All children die with the test.  Nothing in here waits for a time: the
 * wait functions poll a condition with a generous limit.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "loom/sign.h"
#include "support/standin.h"

#define FLEET_HOSTS_MAX 64
#define FLEET_WAIT_MS 20000

/* One service of the fleet. */
struct fleet_service {
	const char *name;
	uint32_t hosts;
	const char *calls[5]; /* "METHOD PATH", NULL-terminated */
	uint32_t slots;
	uint32_t service_ms;
};

struct fleet_host {
	char name[64];
	char ip[32];
	const struct fleet_service *service; /* borrowed */
	uint32_t data_centre;
	bool leaving; /* as the platform lists it */
	bool unlisted;
	pid_t daemon;
	pid_t upstream;
};

struct fleet {
	struct test_standin platform;
	struct loom_public_key public_key;
	struct loom_secret_key secret_key;
	const struct fleet_service *services; /* borrowed */
	uint32_t nservices;
	uint32_t data_centres; /* hosts go to them in turn */
	struct fleet_host hosts[FLEET_HOSTS_MAX];
	uint32_t nhosts;
	char *dir; /* owned: settings, logs and ledgers */
};

/* A whole answer. */
struct fleet_reply {
	int curl; /* CURLcode; 0 for a whole answer */
	long status;
	char *headers; /* owned */
	char *body; /* owned */
	size_t body_len;
	int code; /* of Loom-Code, 0 for none */
	char outcome[16]; /* of Loom-Outcome, "" for none */
	double total_ms;
};

/* Start everything; the document is signed and put.  False when some part
 * does not come up. */
bool fleet_start(struct fleet *, const struct fleet_service *services,
    uint32_t nservices, uint32_t data_centres, const char *document);
void fleet_stop(struct fleet *);

/* Sign a document and put it on the platform. */
void fleet_put_document(struct fleet *, const char *name, const char *text);
/* Put the host lists as the hosts' marks say. */
void fleet_put_hosts(struct fleet *);

/* Single processes. */
bool fleet_start_daemon(struct fleet *, uint32_t host);
bool fleet_start_upstream(struct fleet *, uint32_t host);
void fleet_kill(pid_t *pid, int signal_number); /* and reap, for deadly ones */

/* Poll until the daemon's health page says ready. */
bool fleet_wait_ready(struct fleet *, uint32_t host);
/* Poll until its health page says something else or nothing. */
bool fleet_wait_condition(bool (*condition)(void *arg), void *arg);

/*
 * One request to a host's daemon.  headers is NULL-terminated "Name: value",
 * may be NULL; body may be NULL.  The reply is owned: fleet_reply_clear().
 */
void fleet_call(struct fleet *, uint32_t host, const char *method,
    const char *path, const char *const *headers, const char *body,
    size_t body_len, struct fleet_reply *);
void fleet_reply_clear(struct fleet_reply *);

/* Send raw bytes to a host's daemon and read until it closes, or until the
 * answer holds until (may be NULL).  Owned, g_free. */
char *fleet_raw(struct fleet *, uint32_t host, const char *bytes, size_t len,
    const char *until);

/* A connection to a host's daemon; -1 when it is refused. */
int fleet_connect(struct fleet *, uint32_t host);

/* The resident memory of a process in KiB; -1 when it is gone. */
long fleet_memory_kb(pid_t);

/* The first host of a service. */
uint32_t fleet_host_of(const struct fleet *, const char *service);

/* How many lines of all ledgers of a service begin with "EVENT ID"; id NULL
 * for any. */
uint32_t fleet_ledger_count(const struct fleet *, const char *service,
    const char *event, const char *id);
/* Whether what a service's upstreams received holds the text. */
bool fleet_dump_contains(const struct fleet *, const char *text);

/* A number from a daemon's metrics page; -1 when it is not there. */
double fleet_metric(struct fleet *, uint32_t host, const char *series);

/* The SHA-256 of a caller's key in hex; static buffer. */
const char *fleet_key_digest(const char *key);

#endif
