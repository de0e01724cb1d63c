#ifndef LOOM_QUARANTINE_H
#define LOOM_QUARANTINE_H

/*
 * Requests that crash their upstream.
 *
 * Load pattern: one request crashes each upstream that runs it, its caller
 * sends it again, and retries carry it from host to host until none is left.
 *
 * All requests in flight at a crash become suspects.  Suspects run one at a
 * time; a whole answer clears one.  One that is in flight at a second crash,
 * or was alone at its first, is a strong suspect: it runs only with nothing
 * else in flight, and after each crash waits twice as long as before.  One
 * that was quite alone at its second or a later crash is quarantined.  So no
 * request is quarantined for another's crash, however the two coincide, and
 * one that always crashes its upstream does so about three times, as far as
 * the word of it spreads.
 *
 * Safe from any thread; one lock, since the question is what one upstream has
 * in flight together.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/control.h"
#include "loom/result.h"

/* Bytes of a body that the fingerprint covers. */
#define LOOM_FINGERPRINT_PREFIX_BYTES 16384

struct loom_fingerprint {
	uint8_t bytes[16];
};

/*
 * What a repeated request has in common with its first: team, route, path
 * with query, declared length and the first LOOM_FINGERPRINT_PREFIX_BYTES of
 * the body.  Known before the first byte goes upstream, also for a body that
 * is streamed.  Request ids and tickets are left out: a caller that begins
 * anew takes new ones.
 */
void loom_fingerprint(struct loom_fingerprint *, uint64_t team_id,
    uint64_t route_id, const char *path, uint64_t declared_bytes,
    const void *prefix, size_t prefix_bytes);

enum loom_quarantine_verdict {
	LOOM_QUARANTINE_PASS, /* run it; loom_quarantine_leave() after */
	/* Keep it queued; ask again when a call leaves, and after 100 ms. */
	LOOM_QUARANTINE_HOLD,
	LOOM_QUARANTINE_LATER, /* refuse with LOOM_SUSPECT */
	LOOM_QUARANTINE_REFUSE, /* refuse with LOOM_QUARANTINED, final */
};

enum loom_quarantine_end {
	LOOM_QUARANTINE_NOT_SENT, /* no byte went upstream */
	LOOM_QUARANTINE_ANSWERED, /* a whole answer: clears a suspect */
	LOOM_QUARANTINE_BROKEN, /* cut, cancelled or timed out */
};

struct loom_quarantine;
struct loom_quarantine_entry; /* one call in flight */

struct loom_quarantine_config {
	const struct loom_self *self; /* borrowed for life */
	const struct loom_sender *sender; /* borrowed for life */
	uint64_t suspect_us; /* suspicion ends; 0 for 10 minutes */
	uint64_t quarantine_us; /* quarantine ends; 0 for 30 minutes */
	uint32_t capacity; /* fingerprints known; 0 for 4096 */
};

struct loom_quarantine *loom_quarantine_new(
    const struct loom_quarantine_config *); /* owned */
void loom_quarantine_free(struct loom_quarantine *);

/* A call is about to go upstream.  *entry is set for PASS alone. */
enum loom_quarantine_verdict loom_quarantine_enter(struct loom_quarantine *,
    const struct loom_fingerprint *, uint64_t now_us,
    struct loom_quarantine_entry **entry);

/*
 * How long a fingerprint that was told LATER or REFUSE will be told the same;
 * 0 where that hangs on other calls.
 */
uint64_t loom_quarantine_wait_us(
    struct loom_quarantine *, const struct loom_fingerprint *, uint64_t now_us);

/* The call is over; calls that were told HOLD may ask again. */
void loom_quarantine_leave(struct loom_quarantine *,
    struct loom_quarantine_entry *, enum loom_quarantine_end, uint64_t now_us);

/*
 * The upstream crashed: the connection of this call broke while it ran, and a
 * new one is refused, or the idle ones are gone too.  Blames all that are in
 * flight; told by each of them, one crash counts once.  Call it before the
 * broken call leaves, and refuse it with LOOM_UPSTREAM_CRASHED, which is final:
 * a retry would take the culprit to the next host before any word of it.
 */
void loom_quarantine_crashed(
    struct loom_quarantine *, struct loom_quarantine_entry *, uint64_t now_us);

/* The crash is one of an upstream that takes connections again already:
 * suspects wait for half a second, in which another could not be told. */
void loom_quarantine_back_at_once(struct loom_quarantine *, uint64_t now_us);

/* This call could not connect: the upstream is down, by no doing of it. */
void loom_quarantine_unreachable(struct loom_quarantine *,
    const struct loom_quarantine_entry *, uint64_t now_us);

/* Fingerprints in quarantine now. */
size_t loom_quarantine_count(struct loom_quarantine *, uint64_t now_us);

/* The part's table (messages 70-71); its argument is a struct
 * loom_quarantine. */
extern const struct loom_part_ops loom_quarantine_part;

#endif
