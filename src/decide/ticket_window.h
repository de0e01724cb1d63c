#ifndef LOOM_DECIDE_TICKET_WINDOW_H
#define LOOM_DECIDE_TICKET_WINDOW_H

/*
 * The states of the last TICKET_WINDOW_SIZE ticket numbers that one executor
 * issued to one team, at two bits a number.
 */

#include <stddef.h>
#include <stdint.h>

/*
 * Size of the window in ticket numbers.  Windows are per team, so that no team
 * can expire another's tickets. 4096 states of two bits take 1 KB; a team that
 * takes one ticket for each of 10 orders a second has seven minutes to use one,
 * well above any deadline including its retries.
 */
#define TICKET_WINDOW_SIZE 4096
#define TICKET_WINDOW_BYTES (TICKET_WINDOW_SIZE / 4)

/* The first four values are stored in two bits. */
enum ticket_state {
	TICKET_STATE_UNUSED = 0,
	TICKET_STATE_USED = 1, /* running, or its outcome is unknown */
	TICKET_STATE_RAN = 2,
	TICKET_STATE_REFUSED = 3, /* did not run and never will */
	TICKET_STATE_EXPIRED, /* below the window */
	TICKET_STATE_NOT_ISSUED, /* above the last issued number */
};

struct ticket_window {
	uint64_t next; /* the next number to issue */
	uint8_t bits[TICKET_WINDOW_BYTES]; /* ring buffer indexed by number */
};

/* Issues count numbers, at most TICKET_WINDOW_SIZE, and returns the first. */
uint64_t ticket_window_issue(struct ticket_window *, uint32_t count);

enum ticket_state ticket_window_get(
    const struct ticket_window *, uint64_t number);

/* Has no effect on a number outside the window. */
void ticket_window_set(
    struct ticket_window *, uint64_t number, enum ticket_state state);

/*
 * Returns the bytes of the ring that are in use; the others are all unused
 * states.
 */
size_t ticket_window_bytes(const struct ticket_window *);

#endif
