#ifndef LOOM_QUARANTINE_H
#define LOOM_QUARANTINE_H

/*
 * Quarantine of requests that crash their upstream.
 *
 * It guards against the following failure: a request crashes each upstream that
 * runs it, its caller sends it again, and retries carry it from host to host
 * until no upstream is left.
 *
 * All requests in flight at a crash become suspects. Suspects run one at a
 * time, and a complete answer clears a suspect. A suspect that is in flight at
 * a second crash, or a request that was the only one in flight at its first,
 * becomes a strong suspect: it runs only while nothing else is in flight, and
 * after each crash it has to wait twice as long as before. If it was the only
 * request in flight at its second or a later crash, it is quarantined. Thus no
 * request is quarantined for a crash caused by another one, however they
 * coincide, and a request that always crashes its upstream does so about three
 * times, as far as reports about it reach the other hosts.
 *
 * Thread-safe. There is one lock, because the decision depends on everything
 * that one upstream has in flight.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/control.h"
#include "loom/result.h"

/* Number of body bytes that the fingerprint covers. */
#define LOOM_FINGERPRINT_PREFIX_BYTES 16384

struct loom_fingerprint {
	uint8_t bytes[16];
};

/*
 * Identifies repetitions of a request: team, route, path with query, declared
 * length and the first LOOM_FINGERPRINT_PREFIX_BYTES of the body. All of these
 * are known before the first byte is sent upstream, even if the body is
 * streamed. Request ids and tickets are not included, because a caller that
 * starts again uses new ones.
 */
void loom_fingerprint(struct loom_fingerprint *, uint64_t team_id,
    uint64_t route_id, const char *path, uint64_t declared_bytes,
    const void *prefix, size_t prefix_bytes);

enum loom_quarantine_verdict {
	LOOM_QUARANTINE_PASS, /* run it, then loom_quarantine_leave() */
	/* Keep the call queued; ask when a call leaves and after 100 ms. */
	LOOM_QUARANTINE_HOLD,
	LOOM_QUARANTINE_RETRY_LATER, /* refuse with LOOM_SUSPECT */
	LOOM_QUARANTINE_REFUSE, /* refuse with LOOM_QUARANTINED, final */
};

enum loom_quarantine_result {
	LOOM_QUARANTINE_NOT_SENT, /* nothing was sent upstream */
	LOOM_QUARANTINE_ANSWERED, /* complete answer, which clears a suspect */
	LOOM_QUARANTINE_INCOMPLETE, /* cut, cancelled or timed out */
};

struct loom_quarantine;
struct loom_quarantine_entry; /* one call in flight */

struct loom_quarantine_config {
	const struct loom_self *self; /* borrowed, must outlive this */
	const struct loom_sender *sender; /* borrowed, must outlive this */
	uint64_t suspect_us; /* duration of a suspicion; 0 for 10 minutes */
	uint64_t quarantine_us; /* duration of a quarantine; 0 for 30 minutes */
	uint32_t capacity; /* fingerprints stored; 0 for 4096 */
};

struct loom_quarantine *loom_quarantine_new(
    const struct loom_quarantine_config *); /* owned */
void loom_quarantine_free(struct loom_quarantine *);

/*
 * Decides about a call that is to be sent upstream. *entry is set only for
 * LOOM_QUARANTINE_PASS.
 */
enum loom_quarantine_verdict loom_quarantine_enter(struct loom_quarantine *,
    const struct loom_fingerprint *, uint64_t now_us,
    struct loom_quarantine_entry **entry);

/*
 * For a fingerprint with the verdict LOOM_QUARANTINE_RETRY_LATER or
 * LOOM_QUARANTINE_REFUSE, returns how long the verdict will stay the same; 0 if
 * that depends on other calls.
 */
uint64_t loom_quarantine_wait_us(
    struct loom_quarantine *, const struct loom_fingerprint *, uint64_t now_us);

/* Ends a call. Calls that got LOOM_QUARANTINE_HOLD may ask again. */
void loom_quarantine_leave(struct loom_quarantine *,
    struct loom_quarantine_entry *, enum loom_quarantine_result,
    uint64_t now_us);

/*
 * Reports that the upstream crashed: the connection of this call broke while it
 * ran, and either a new connection is refused or the idle connections broke
 * too. Blames all calls in flight; a crash reported by several of them counts
 * once. Call it before loom_quarantine_leave() for the broken call, and refuse
 * that call with LOOM_UPSTREAM_CRASHED. That code is final, because a retry
 * would take the culprit to the next host before reports about it arrive there.
 */
void loom_quarantine_crashed(
    struct loom_quarantine *, struct loom_quarantine_entry *, uint64_t now_us);

/*
 * Reports that the crashed upstream accepts connections again already. Suspects
 * then wait half a second, because another crash in that time could not be told
 * from this one.
 */
void loom_quarantine_fast_restart(struct loom_quarantine *, uint64_t now_us);

/*
 * Reports that this call could not connect. The upstream is down, but not
 * because of this call.
 */
void loom_quarantine_unreachable(struct loom_quarantine *,
    const struct loom_quarantine_entry *, uint64_t now_us);

/* Number of fingerprints in quarantine. */
size_t loom_quarantine_count(struct loom_quarantine *, uint64_t now_us);

/* Handles messages 70-71; its argument is a struct loom_quarantine. */
extern const struct loom_component_ops loom_quarantine_ops;

#endif
