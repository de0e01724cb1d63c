#ifndef LOOM_DECIDE_HEADROOM_H
#define LOOM_DECIDE_HEADROOM_H

/*
 * How much free capacity a token bucket has had at least since a time.
 *
 * Load pattern: a call takes a token, is refused without having run, and its
 * token is given back. If the bucket was full in between, refill was lost
 * because of that call, or would have been if the token had stayed. With the
 * refill that came instead, the returned token would be a second one, and a
 * team could run its burst twice in one moment.
 */

#include <stdint.h>

#define LOOM_HEADROOM_MINIMA 16

struct loom_headroom_minimum {
	uint64_t at_us;
	uint64_t utok; /* least free capacity from at_us until now */
};

/* In the order of at_us and of utok. Zero-initialised: nothing noted. */
struct loom_headroom {
	struct loom_headroom_minimum minima[LOOM_HEADROOM_MINIMA];
	uint32_t n;
	uint64_t first_us; /* time of the first note; 0: none yet */
	uint64_t last_us; /* strictly increasing */
};

/* Notes the free capacity at a time. */
void loom_headroom_note(struct loom_headroom *, uint64_t utok, uint64_t now_us);

/*
 * The time of a change made now, before later notes and after earlier ones
 * even if the clock has not advanced.
 */
uint64_t loom_headroom_stamp(struct loom_headroom *, uint64_t now_us);

/*
 * The least free capacity noted after a stamp, or less where notes were
 * merged; UINT64_MAX if nothing was noted since, and 0 for a stamp before the
 * first note.
 */
uint64_t loom_headroom_since(const struct loom_headroom *, uint64_t stamp_us);

/* Counts so much of the free capacity since a stamp as occupied. */
void loom_headroom_occupy(
    struct loom_headroom *, uint64_t stamp_us, uint64_t utok);

#endif
