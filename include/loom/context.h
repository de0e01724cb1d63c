#ifndef LOOM_CONTEXT_H
#define LOOM_CONTEXT_H

/*
 * The context of a call: what one daemon tells the next about it, as an
 * authenticated text in the header "Loom-Context".
 *
 * A peer context goes from the entry to the executor's daemon and is good
 * once, at one incarnation of one host.  An upstream context is handed by the
 * executor's daemon to its own upstream, which sends it along with deeper
 * calls; it is good at that daemon alone and while its call is live.
 *
 * Time is never a wall clock.  The deadline travels as what remains, and the
 * receiver counts it from arrival.  That alone would make a recorded context
 * good for ever, so a peer context is also stamped with the audience's own
 * monotonic clock, as its issuer last heard it (struct loom_peer_clock).
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/manifest.h"
#include "loom/result.h"

#define LOOM_FLEET_SECRET_SIZE 32
#define LOOM_CONTEXT_KEY_SIZE 32
#define LOOM_KEY_PREFIX_SIZE 16
/* Room for any encoded context, with the final NUL. */
#define LOOM_CONTEXT_TEXT_MAX 320
/* Chains are up to 28 deep; the margin is for test and operator calls. */
#define LOOM_HOPS_MAX 32
/* How far an issuer's estimate of the audience's clock may be off. */
#define LOOM_CLOCK_SKEW_US UINT64_C(2000000)
/* No deadline may be longer; a longer one is cut to this. */
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
	struct loom_id128 root; /* the chain's first request */
	struct loom_id128 call; /* this call; new at each hop and attempt */
	uint64_t team_id;
	uint8_t key_prefix[LOOM_KEY_PREFIX_SIZE]; /* of the key's digest */
	enum loom_importance importance;
	uint64_t remaining_us; /* of the deadline */
	uint8_t hops; /* 1 for the root's own call */
	uint64_t home_host_id; /* holds the root's retry budget */
	uint64_t home_incarnation;
	uint64_t audience_host_id; /* the only host that may use it */
	uint64_t audience_incarnation;
	uint64_t audience_stamp_us; /* the audience's clock at issue */
	uint64_t issuer_host_id;
	uint64_t issuer_incarnation;
	bool wants_ticket; /* answer a missing ticket with a fresh one */
};

/* The MAC key of contexts; the same on every daemon of the fleet. */
struct loom_context_key {
	uint8_t bytes[LOOM_CONTEXT_KEY_SIZE];
};

/* Derive the key; every purpose has its own. */
void loom_context_key_derive(struct loom_context_key *,
    const uint8_t fleet_secret[LOOM_FLEET_SECRET_SIZE]);

/* Write the text into out; returns its length, 0 when size is too small. */
size_t loom_context_encode(const struct loom_context *,
    const struct loom_context_key *, char *out, size_t size);

/* Who verifies, and what kind it expects. */
struct loom_context_expect {
	enum loom_context_kind kind;
	uint64_t host_id;
	uint64_t incarnation;
};

/*
 * Check MAC, kind, audience, incarnation, hops and age.  LOOM_OK with
 * *context filled; else LOOM_CONTEXT_INVALID, LOOM_CONTEXT_EXPIRED (nothing
 * remains), LOOM_CONTEXT_HOPS or LOOM_CONTEXT_STALE (the issuer knew an older
 * incarnation or clock of this host: answer it with the header "Loom-Clock",
 * and it may send anew at once).  *context is zeroed on failure.
 *
 * The caller still owes two checks: loom_replay_admit() for a peer context,
 * loom_calls_find() for an upstream one.
 */
enum loom_result loom_context_verify(const char *text, size_t len,
    const struct loom_context_key *, const struct loom_context_expect *,
    uint64_t now_us, struct loom_context *context);

/* What an issuer knows of a peer's clock.  Zeroed: nothing known yet. */
struct loom_peer_clock {
	uint64_t incarnation;
	uint64_t heard_us; /* the peer's clock in its last answer */
	uint64_t heard_at_us; /* our clock when that answer came */
};

#define LOOM_CLOCK_TEXT_MAX 48

/* The value of "Loom-Clock" in answers between daemons. */
void loom_clock_format(
    uint64_t incarnation, uint64_t now_us, char out[LOOM_CLOCK_TEXT_MAX]);

/* Learn from an answer's header; false (and no change) when malformed. */
bool loom_clock_learn(
    struct loom_peer_clock *, const char *text, uint64_t now_us);

/* Fill audience_incarnation and audience_stamp_us for a new context. */
void loom_clock_stamp(
    const struct loom_peer_clock *, uint64_t now_us, struct loom_context *);

/*
 * Call ids of peer contexts that have arrived, each kept until no verifier
 * would take its context any more.  Safe from any thread.
 */
struct loom_replay;

/* capacity in ids; owned. */
struct loom_replay *loom_replay_new(uint32_t capacity);
void loom_replay_free(struct loom_replay *);

/* LOOM_OK once for a call id; then LOOM_CONTEXT_REPLAYED.  LOOM_OVERLOAD
 * when the set is full of ids that are still good. */
enum loom_result loom_replay_admit(
    struct loom_replay *, const struct loom_context *, uint64_t now_us);

#endif
