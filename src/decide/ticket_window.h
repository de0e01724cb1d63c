#ifndef LOOM_DECIDE_TICKET_WINDOW_H
#define LOOM_DECIDE_TICKET_WINDOW_H

/*
 * What became of the last TICKET_WINDOW numbers that one executor issued to
 * one team: two bits a number.
 */

#include <stddef.h>
#include <stdint.h>

/*
 * Per team, so that no team can push another's tickets out.  4096 at two bits
 * are 1 KB; a team that orders 10 times a second and takes one ticket each
 * has seven minutes to use one, far over any deadline and its retries.
 */
#define TICKET_WINDOW 4096
#define TICKET_WINDOW_BYTES (TICKET_WINDOW / 4)

/* The first four are what two bits hold. */
enum ticket_state {
	TICKET_STATE_UNUSED = 0,
	TICKET_STATE_USED = 1, /* runs now, or its outcome is unknown */
	TICKET_STATE_RAN = 2,
	TICKET_STATE_REFUSED = 3, /* never ran and never will */
	TICKET_STATE_EXPIRED, /* below the window */
	TICKET_STATE_NEVER, /* not issued yet */
};

struct ticket_window {
	uint64_t next; /* the next number to issue */
	uint8_t bits[TICKET_WINDOW_BYTES]; /* a ring, by number */
};

/* Issue count numbers (at most TICKET_WINDOW); returns the first. */
uint64_t ticket_window_issue(struct ticket_window *, uint32_t count);

enum ticket_state ticket_window_get(const struct ticket_window *, uint64_t n);

/* No effect on a number outside the window. */
void ticket_window_set(
    struct ticket_window *, uint64_t n, enum ticket_state state);

/* Bytes of the ring that hold anything: the rest is still unused. */
size_t ticket_window_bytes(const struct ticket_window *);

#endif
