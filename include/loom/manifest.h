#ifndef LOOM_MANIFEST_H
#define LOOM_MANIFEST_H

/*
 * The operators' configuration.  A manifest is the union of named, versioned
 * and signed documents in JSON with comments:
 *
 *   {
 *     "document": "derwent", "version": 12,
 *     "fleet": { "slots": 12, "retry_budget": 2, "retry_ratio": 0.1 },
 *     "teams": [ { "name": "legal-aid", "rate_per_s": 50, "burst": 20,
 *         "keys": [ { "id": "2026-11", "sha256": "<64 hex digits>",
 *                     "withdrawn": false } ] } ],
 *     "services": [ { "name": "orders", "slots": 20, "queue": 40,
 *         "cold_start_ms": 3000, "cold_per_s": 14, "load_path": "/load",
 *         "health_path": "/health" } ],
 *     "routes": [ { "name": "order.create", "service": "orders",
 *         "method": "POST", "path": "/orders", "importance": "critical",
 *         "idempotent": false, "calls": [ "payment.take" ],
 *         "deadline_ms": 5000, "max_body_bytes": 1048576 } ]
 *   }
 *
 * A route may set a "host", be "public" (no key needed), divide its requests
 * between services with "split": [ { "service": "orders-2", "weight": 10 } ],
 * and set the limits "timeout_ms" and "max_attempts".  A team may be
 * "unlimited" and set an "importance" that takes precedence over the route's.
 *
 * Every section is optional.  A small company can use one document; a large
 * one uses a document for each team and service, so that a change is sent as a
 * few hundred bytes.  Only the SHA-256 of a key is stored.  A path ending in
 * "*" matches by prefix; the longest match wins.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/problem.h"
#include "loom/ref.h"
#include "loom/result.h"

#define LOOM_DIGEST_SIZE 32
#define LOOM_NAME_MAX 63

/* A lower value is more important; its requests are shed later. */
enum loom_importance {
	LOOM_CRITICAL, /* e.g. an appeal order, a proof photo */
	LOOM_HIGH,
	LOOM_NORMAL, /* the default */
	LOOM_LOW,
	LOOM_IMPORTANCE_COUNT,
};

struct loom_key {
	uint8_t digest[LOOM_DIGEST_SIZE]; /* SHA-256 of the key */
	char id[LOOM_NAME_MAX + 1];
	uint32_t team_index;
	bool withdrawn;
};

struct loom_team {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* hash of the name; the same in every manifest version */
	double rate_per_s;
	uint32_t burst; /* calls */
	bool unlimited; /* rate_per_s and burst do not apply */
	/* if set, takes precedence over the route's importance for requests of
	 * this team, see loom_importance_combine() */
	bool has_importance;
	enum loom_importance importance;
};

struct loom_service {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* hash of the name */
	uint32_t slots; /* maximum concurrent calls to one upstream */
	uint32_t queue; /* maximum calls queued for one upstream */
	/* a new upstream's load rises to its full share over this time */
	uint32_t cold_start_ms;
	/* calls per second that an upstream takes while it is cold, that is in
	 * its first cold_start_ms; 0: no bound */
	double cold_per_s;
	/* of the upstream's load report; "" for none */
	char load_path[LOOM_NAME_MAX + 1];
	/* of the upstream's health response; "" for none */
	char health_path[LOOM_NAME_MAX + 1];
};

struct loom_route_split {
	uint32_t service_index;
	uint32_t weight;
};

struct loom_route {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* loom_name_id(name) */
	char method[16]; /* "GET"; "*" for any */
	char host[128]; /* as in the Host header, without a port; "" for any */
	char path[256]; /* without the "*" of a prefix */
	bool prefix;
	bool is_public; /* needs no key and is not charged to any team */
	bool idempotent; /* as declared for the route itself */
	/* idempotent, and so are all routes that it calls, directly or
	 * indirectly: computed by loom_manifest_build() */
	bool repeatable;
	enum loom_importance importance;
	uint32_t service_index;
	uint32_t deadline_ms; /* used if the caller sets no deadline */
	/* upper limit of the deadline, even if the caller sets it; 0: none */
	uint32_t timeout_ms;
	/* a response within this time has the most value; 0: unknown */
	uint32_t aim_ms;
	uint32_t max_attempts; /* maximum hosts that one request is sent to */
	uint64_t max_body_bytes;
	/* services that share the requests by weight; if empty,
	 * service_index gets all of them */
	struct loom_route_split *splits; /* owned */
	uint32_t nsplits;
	uint32_t *calls; /* owned: route indexes */
	uint32_t ncalls;
};

struct loom_fleet {
	/* number of daemons that the team rates are divided between; 0: taken
	 * from the list of hosts */
	uint32_t slots;
	/* maximum retries of one request in total, default 2 */
	uint32_t retry_budget;
	/* ratio of retries to first attempts, default 0.1 */
	double retry_ratio;
	/* Requests that may not be repeated need a ticket (default).  Without
	 * tickets each arrival counts as a separate request, which is sent to
	 * another executor only after the first one has reported that it did
	 * not run it. */
	bool tickets;
	/* If set, the entry's check of a request's key and route is final: the
	 * executor runs the request even if its own manifest, which may be
	 * older or newer, disagrees, and calls in progress continue after their
	 * key is withdrawn.  If clear (default), the executor checks both
	 * again, and calls in progress end when their key is withdrawn. */
	bool entry_decides;
};

/* One parsed document; immutable and reference-counted. */
struct loom_document;

/* The merged documents; immutable, reference-counted, shared by all threads. */
struct loom_manifest {
	struct loom_ref ref;
	/* Increases whenever one of the documents is updated; for logs and
	 * status pages only.  Documents are ordered by their own (version,
	 * digest). */
	uint64_t generation;
	uint64_t version; /* highest version of its documents; for logs only */
	struct loom_fleet fleet;
	struct loom_team *teams; /* owned, as are all arrays here */
	uint32_t nteams;
	struct loom_key *keys; /* sorted by digest */
	uint32_t nkeys;
	struct loom_service *services;
	uint32_t nservices;
	/* routes[nroutes] is an additional element: the route of a request from
	 * an entry that has another manifest. */
	struct loom_route *routes;
	uint32_t nroutes;
	struct loom_manifest_index *index; /* private to src/manifest */
};

/*
 * Parses and checks one document.  All problems are collected, not only the
 * first.  Returns an owned document, or NULL with at least one problem in
 * *problems (owned by the caller).  file is used in messages.
 */
struct loom_document *loom_document_parse(const char *text, size_t len,
    const char *file, struct loom_problem **problems);

/*
 * The same for a document without a signed form, which has to fit no value of
 * the platform: at most LOOM_DOCUMENT_UNSIGNED_BYTES_MAX are allowed.
 */
#define LOOM_DOCUMENT_UNSIGNED_BYTES_MAX (UINT32_C(8) * 1024 * 1024)
struct loom_document *loom_document_parse_unsigned(const char *text, size_t len,
    const char *file, struct loom_problem **problems);

const char *loom_document_name(const struct loom_document *); /* borrowed */
uint64_t loom_document_version(const struct loom_document *);
struct loom_document *loom_document_acquire(struct loom_document *);
void loom_document_release(struct loom_document *);

/*
 * Merges documents into a manifest owned by the caller.  Checks references
 * between documents: duplicate names, a route to an unknown service, an
 * unknown call.  Returns NULL and adds problems if a check fails.
 */
struct loom_manifest *loom_manifest_build(
    struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems);

/*
 * The same for daemons, which must not keep an old manifest because two
 * documents conflict.  Always returns a manifest: invalid elements are
 * omitted, each conflict is resolved on the safe side (the lower rate, the
 * withdrawn key, the route that may not be repeated), and *problems lists
 * them.  The result depends only on the set of documents, not on their order.
 */
struct loom_manifest *loom_manifest_build_partial(
    struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems);

struct loom_manifest *loom_manifest_acquire(struct loom_manifest *);
void loom_manifest_release(struct loom_manifest *);

/* Looks up a key by its digest, compared in constant time.  Withdrawn keys are
 * found as well; NULL for an unknown one.  Borrowed from the manifest, like all
 * results below. */
const struct loom_key *loom_manifest_key(
    const struct loom_manifest *, const uint8_t digest[LOOM_DIGEST_SIZE]);

/* Computes the digest of a key as sent by a caller. */
void loom_key_digest(
    const char *key, size_t len, uint8_t digest[LOOM_DIGEST_SIZE]);

/*
 * Finds the route of a request among those for any host.  A query in path is
 * ignored.  A path that an upstream may interpret as another path matches no
 * route: one with ".", ".." or empty segments, percent-encoded or not.
 */
const struct loom_route *loom_manifest_route(
    const struct loom_manifest *, const char *method, const char *path);

/*
 * The same for a request to a host; the routes of this host take precedence
 * over those for any host.  Their paths are compared byte for byte as sent,
 * since the upstream receives the same bytes.  host may include a port; NULL
 * for none.
 */
const struct loom_route *loom_manifest_route_for_host(
    const struct loom_manifest *, const char *host, const char *method,
    const char *path);

const struct loom_route *loom_manifest_route_by_name(
    const struct loom_manifest *, const char *name);
const struct loom_service *loom_manifest_service(
    const struct loom_manifest *, const char *name);
const struct loom_service *loom_manifest_service_by_id(
    const struct loom_manifest *, uint64_t service_id);
const struct loom_team *loom_manifest_team(
    const struct loom_manifest *, uint64_t team_id);

/* Returns the ID of a name: a hash that must stay the same across releases. */
uint64_t loom_name_id(const char *name);

/*
 * Combines the importances of a team and a route, the team's taking precedence.
 * Requests of a critical team are critical, those of a high team are one level
 * below their route, and those of all other teams are low.
 */
enum loom_importance loom_importance_combine(
    enum loom_importance team, enum loom_importance route);

/* Returns "critical", "high", "normal" or "low". */
const char *loom_importance_name(enum loom_importance);

#endif
