#ifndef LOOM_CONTEXT_H
#define LOOM_CONTEXT_H

/*
 * The context of a call: information about the call that one daemon passes to
 * the next as an authenticated text in the "Loom-Context" header.
 *
 * A peer context is sent by the entry daemon to the executor's daemon. It is
 * accepted once, by one incarnation of one host. An upstream context is passed
 * by the executor's daemon to its own upstream, which includes it in nested
 * calls. It is accepted only by that daemon, and only while its call is in
 * progress.
 *
 * No wall clock times are used. The deadline is sent as the time remaining, and
 * the receiver counts it from arrival. On its own, that would make a recorded
 * context valid forever. A peer context therefore also carries a time of the
 * audience's monotonic clock, which the issuer estimates from the last answer
 * (struct loom_peer_clock).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/manifest.h"
#include "loom/result.h"

#define LOOM_FLEET_SECRET_SIZE 32
#define LOOM_CONTEXT_KEY_SIZE 32
#define LOOM_KEY_PREFIX_SIZE 16
/* Enough for any encoded context, with the terminating NUL. */
#define LOOM_CONTEXT_TEXT_MAX 320
/* Call chains are up to 28 deep; the margin is for test and operator calls. */
#define LOOM_HOPS_MAX 32
/* Tolerated error of an issuer's estimate of the audience's clock. */
#define LOOM_CLOCK_SKEW_US UINT64_C(2000000)
/* Longer deadlines are reduced to this. */
#define LOOM_DEADLINE_MAX_US UINT64_C(3600000000)

struct loom_id128 {
	uint8_t bytes[16];
};

enum loom_context_kind {
	LOOM_CONTEXT_PEER = 1,
	LOOM_CONTEXT_UPSTREAM = 2,
};

struct loom_context {
	enum loom_context_kind kind;
	struct loom_id128 root; /* the first request of the chain */
	struct loom_id128 call; /* differs for each hop and attempt */
	uint64_t team_id;
	uint8_t key_prefix[LOOM_KEY_PREFIX_SIZE]; /* of the API key's digest */
	enum loom_importance importance;
	uint64_t remaining_us; /* until the deadline */
	uint8_t hops; /* 1 for the root request itself */
	uint64_t home_host_id; /* has the root's retry budget */
	uint64_t home_incarnation;
	uint64_t audience_host_id; /* the only host that accepts the context */
	uint64_t audience_incarnation;
	uint64_t audience_stamp_us; /* estimate of its clock at issue */
	uint64_t issuer_host_id;
	uint64_t issuer_incarnation;
	bool wants_ticket; /* if the ticket is missing, answer with a new one */
};

/* MAC key for contexts, the same on every daemon of the fleet. */
struct loom_context_key {
	uint8_t bytes[LOOM_CONTEXT_KEY_SIZE];
};

/* Derives the key for contexts. Each purpose has a different key. */
void loom_context_key_derive(struct loom_context_key *,
    const uint8_t fleet_secret[LOOM_FLEET_SECRET_SIZE]);

/* Writes the text to out and returns its length, or 0 if size is too small. */
size_t loom_context_encode(const struct loom_context *,
    const struct loom_context_key *, char *out, size_t size);

/* The verifying daemon, and the kind of context that it expects. */
struct loom_context_expect {
	enum loom_context_kind kind;
	uint64_t host_id;
	uint64_t incarnation;
};

/*
 * Checks MAC, kind, audience, incarnation, hops and age. Returns LOOM_OK and
 * sets *context, or returns one of the following and sets *context to zeros:
 * LOOM_CONTEXT_INVALID; LOOM_CONTEXT_EXPIRED (no time remains);
 * LOOM_CONTEXT_HOPS; or LOOM_CONTEXT_STALE if the issuer used an older
 * incarnation or clock reading of this host. A stale context is answered with
 * the "Loom-Clock" header, and the issuer may retry at once.
 *
 * The caller must make one more check: loom_replay_set_admit() for a peer
 * context, or loom_calls_find() for an upstream context.
 */
enum loom_result loom_context_verify(const char *text, size_t len,
    const struct loom_context_key *, const struct loom_context_expect *,
    uint64_t now_us, struct loom_context *context);

/* An issuer's last reading of a peer's clock. All zeros if there is none. */
struct loom_peer_clock {
	uint64_t incarnation;
	uint64_t peer_now_us; /* the peer's clock as of its last answer */
	uint64_t received_at_us; /* our clock when that answer arrived */
};

#define LOOM_CLOCK_TEXT_MAX 48

/* Formats the value of the "Loom-Clock" header in answers between daemons. */
void loom_clock_format(
    uint64_t incarnation, uint64_t now_us, char out[LOOM_CLOCK_TEXT_MAX]);

/*
 * Updates the reading from the header of an answer. Returns false and changes
 * nothing if the header is malformed.
 */
bool loom_clock_update(
    struct loom_peer_clock *, const char *text, uint64_t now_us);

/* Sets audience_incarnation and audience_stamp_us of a new context. */
void loom_clock_stamp(
    const struct loom_peer_clock *, uint64_t now_us, struct loom_context *);

/*
 * Call ids of the peer contexts received. Each is kept until its context would
 * be rejected as stale anyway. Thread-safe.
 */
struct loom_replay_set;

/* Capacity is a number of ids. Free with loom_replay_set_free(). */
struct loom_replay_set *loom_replay_set_new(uint32_t capacity);
void loom_replay_set_free(struct loom_replay_set *);

/*
 * Returns LOOM_OK the first time that a call id is seen, then
 * LOOM_CONTEXT_REPLAYED. Returns LOOM_OVERLOAD if the set is full of ids that
 * have not expired.
 */
enum loom_result loom_replay_set_admit(
    struct loom_replay_set *, const struct loom_context *, uint64_t now_us);

#endif
