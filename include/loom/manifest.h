#ifndef LOOM_MANIFEST_H
#define LOOM_MANIFEST_H

/*
 * What the operators declare.  A manifest is the union of named, versioned
 * and signed documents, JSON with comments:
 *
 *   {
 *     "document": "derwent", "version": 12,
 *     "fleet": { "slots": 12, "retry_budget": 2, "retry_ratio": 0.1 },
 *     "teams": [ { "name": "legal-aid", "rate_per_s": 50, "burst": 20,
 *         "keys": [ { "id": "2026-11", "sha256": "<64 hex digits>",
 *                     "withdrawn": false } ] } ],
 *     "services": [ { "name": "orders", "slots": 20, "queue": 40,
 *         "cold_start_ms": 3000, "load_path": "/load" } ],
 *     "routes": [ { "name": "order.create", "service": "orders",
 *         "method": "POST", "path": "/orders", "importance": "critical",
 *         "idempotent": false, "calls": [ "payment.take" ],
 *         "deadline_ms": 5000, "max_body_bytes": 1048576 } ]
 *   }
 *
 * A route may name a "host" of its own, be "public" (no key), share its
 * requests by "split": [ { "service": "orders-2", "weight": 10 } ], and bound
 * "timeout_ms" and "max_attempts"; a team may be "unlimited" and have an
 * "importance" that goes before the route's.
 *
 * Each section may be left out.  A small firm ships one document, a large one
 * one for each team and service, so that a change travels as a few hundred
 * bytes.  A key is known by its SHA-256 alone.  A path ending in "*" matches
 * by prefix; the longest match wins.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/problem.h"
#include "loom/ref.h"
#include "loom/result.h"

#define LOOM_DIGEST_SIZE 32
#define LOOM_NAME_MAX 63

/* Lower is more important and is shed later. */
enum loom_importance {
	LOOM_CRITICAL, /* an appeal order, a proof photo */
	LOOM_HIGH,
	LOOM_NORMAL, /* the default */
	LOOM_LOW,
	LOOM_IMPORTANCES,
};

struct loom_key {
	uint8_t digest[LOOM_DIGEST_SIZE]; /* SHA-256 of the key */
	char id[LOOM_NAME_MAX + 1];
	uint32_t team_index;
	bool withdrawn;
};

struct loom_team {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* hash of the name: the same in each version */
	double rate_per_s;
	uint32_t burst; /* calls */
	bool unlimited; /* rate_per_s and burst do not bind */
	/* goes before the route's in this team's requests */
	bool has_importance;
	enum loom_importance importance;
};

struct loom_service {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* hash of the name */
	uint32_t slots; /* calls at once for one upstream */
	uint32_t queue; /* calls that may wait at one upstream */
	uint32_t cold_start_ms; /* a new upstream's ramp */
	char load_path[LOOM_NAME_MAX + 1]; /* "" for no load report */
};

struct loom_route_part {
	uint32_t service_index;
	uint32_t weight;
};

struct loom_route {
	char name[LOOM_NAME_MAX + 1];
	uint64_t id; /* loom_name_id(name) */
	char method[16]; /* "GET"; "*" for any */
	char host[128]; /* of the Host header, without a port; "" for any */
	char path[256]; /* without the "*" of a prefix */
	bool prefix;
	bool is_public; /* needs no key, and counts for no team */
	bool idempotent; /* as declared for the route itself */
	/* false as well when a declared call reaches a route that may not
	 * be repeated: computed by loom_manifest_build() */
	bool repeatable;
	enum loom_importance importance;
	uint32_t service_index;
	uint32_t deadline_ms; /* used when the caller names none */
	uint32_t
	    timeout_ms; /* longest wait, whatever the caller says; 0: none */
	uint32_t aim_ms; /* an answer within it is worth most; 0: unknown */
	uint32_t max_attempts; /* hosts that one request may be sent to */
	uint64_t max_body_bytes;
	/* services that share the requests by weight; none: service_index */
	struct loom_route_part *parts; /* owned */
	uint32_t nparts;
	uint32_t *calls; /* owned: route indexes */
	uint32_t ncalls;
};

struct loom_fleet {
	/* daemons that team rights are split over; 0: as the hosts' list says
	 */
	uint32_t slots;
	uint32_t retry_budget; /* retries for one request in all, default 2 */
	double retry_ratio; /* retries to first attempts, default 0.1 */
	/* Requests that may not be repeated need a ticket (default).  Without
	 * tickets each arrival is a request of its own, bound to one executor
	 * until that one has said that it did not run. */
	bool tickets;
	/* What an entry has decided of a request by its manifest (key, route)
	 * binds the executor, whose own may be older or newer, and calls under
	 * way outlive their key.  Else (default) an executor looks both up
	 * again, and a key's withdrawal ends its calls. */
	bool entry_decides;
};

/* One parsed document; immutable, counted. */
struct loom_document;

/* The documents joined; immutable, counted, shared by all threads. */
struct loom_manifest {
	struct loom_ref ref;
	/* Grows whenever a document of it does: for logs and views only.
	 * Order among documents is by each one's (version, digest). */
	uint64_t generation;
	uint64_t version; /* the highest of its documents, for logs only */
	struct loom_fleet fleet;
	struct loom_team *teams; /* owned, like all arrays here */
	uint32_t nteams;
	struct loom_key *keys; /* sorted by digest */
	uint32_t nkeys;
	struct loom_service *services;
	uint32_t nservices;
	/* One more stands after the last: the route of a request that an
	 * entry with another manifest has sent. */
	struct loom_route *routes;
	uint32_t nroutes;
	struct loom_manifest_index *index; /* private to src/manifest */
};

/*
 * Parse and check one document.  All problems are collected, not only the
 * first.  Returns an owned document, or NULL with at least one problem in
 * *problems (owned by the caller).  file is used in messages.
 */
struct loom_document *loom_document_parse(const char *text, size_t len,
    const char *file, struct loom_problem **problems);

const char *loom_document_name(const struct loom_document *); /* borrowed */
uint64_t loom_document_version(const struct loom_document *);
struct loom_document *loom_document_acquire(struct loom_document *);
void loom_document_release(struct loom_document *);

/*
 * Join documents into a manifest owned by the caller.  References between
 * documents are checked here: names that stand twice, a route to an unknown
 * service, an unknown call.  NULL with problems when a check fails.
 */
struct loom_manifest *loom_manifest_build(
    struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems);

/*
 * The same for daemons, which must not stay with an old manifest because two
 * documents clash: always gives a manifest.  What cannot stand is left out,
 * every doubt is settled on the safe side (the lower rate, the withdrawn key,
 * the route that may not be repeated), and *problems says so.  The result
 * depends on the set of documents alone, not on their order.
 */
struct loom_manifest *loom_manifest_build_partial(
    struct loom_document *const *documents, size_t ndocuments,
    uint64_t generation, struct loom_problem **problems);

struct loom_manifest *loom_manifest_acquire(struct loom_manifest *);
void loom_manifest_release(struct loom_manifest *);

/* The key by its digest, compared in constant time; NULL when not granted.
 * Borrowed from the manifest, like all results below. */
const struct loom_key *loom_manifest_key(
    const struct loom_manifest *, const uint8_t digest[LOOM_DIGEST_SIZE]);

/* The digest of a key as a caller sends it. */
void loom_key_digest(
    const char *key, size_t len, uint8_t digest[LOOM_DIGEST_SIZE]);

/*
 * path may carry a query, which is passed over.  A path that an upstream may
 * read as another one matches nothing: one with ".", ".." or empty segments,
 * also when they are written with escapes.
 */
const struct loom_route *loom_manifest_route(
    const struct loom_manifest *, const char *method, const char *path);

/*
 * The same among the routes of a host, which go before those for any host.
 * Their paths are matched as they were sent, byte for byte: the upstream gets
 * the same bytes.  host may carry a port; NULL for none.
 */
const struct loom_route *loom_manifest_route_at(const struct loom_manifest *,
    const char *host, const char *method, const char *path);

const struct loom_route *loom_manifest_route_by_name(
    const struct loom_manifest *, const char *name);
const struct loom_service *loom_manifest_service(
    const struct loom_manifest *, const char *name);
const struct loom_service *loom_manifest_service_by_id(
    const struct loom_manifest *, uint64_t service_id);
const struct loom_team *loom_manifest_team(
    const struct loom_manifest *, uint64_t team_id);

/* The stable number of a team's or service's name. */
uint64_t loom_name_id(const char *name);

/*
 * One importance of a team's and a route's: first by the team, then by the
 * route.  A critical team's requests are critical; below it there is room for
 * the routes of high teams, and those of lesser ones are low.
 */
enum loom_importance loom_importance_join(
    enum loom_importance team, enum loom_importance route);

/* "critical", "high", "normal", "low". */
const char *loom_importance_name(enum loom_importance);

#endif
