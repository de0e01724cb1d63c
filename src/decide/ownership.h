#ifndef LOOM_DECIDE_OWNERSHIP_H
#define LOOM_DECIDE_OWNERSHIP_H

/*
 * What part of every team a daemon owns without asking anyone: 1/n.
 *
 * n is the count of slots that the manifest declares, or the count of hosts
 * seen lately on the list if that is larger.  More hosts count at once, fewer
 * count late.
 *
 * The promise holds while no more daemons run than the declared slots.
 * Beyond them it rests on the lists: two daemons' lists must not differ by
 * more than list_lag_us.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loom/hosts.h"

/*
 * The longest that any loan of a daemon's own part runs (loan.h).  A daemon
 * that started a moment ago cannot know what its forerunner had lent, so it
 * owns nothing for so long.
 */
#define LOOM_OWN_WITHHELD_US UINT64_C(3300000)
#define LOOM_OWN_WITHHELD_LARGE_US UINT64_C(7300000)

/*
 * Loans run longer in a fleet of more hosts than this.  A lender goes by its
 * list alone, a daemon that starts by declared slots or its list, whichever
 * says more: so slots are to be lowered after the hosts have gone.
 */
#define LOOM_OWN_LARGE_HOSTS 1024

/* A host that is off the list may still run and count on its part: it stays
 * counted for so many list lags. */
#define LOOM_OWN_REMOVED_HOST_LAGS 6

struct loom_ownership {
	uint64_t host_id;
	uint64_t list_lag_us;
	uint64_t withheld_us; /* LOOM_OWN_WITHHELD_US unless set */
	uint64_t newcomer_us; /* list_lag_us unless set: see hold_us() */
	uint64_t listed_us; /* since when the list shows this host */
	uint64_t checked_us; /* last call of loom_ownership_parts() */
	uint32_t slots; /* declared, the largest seen lately */
	uint64_t lower_slots_at_us; /* a smaller declaration counts after */
	uint32_t declared;
	uint32_t shares; /* n */
	bool listed;
	bool was_listed; /* by an earlier list, in this process */
	bool paused; /* the process was stopped for longer than lists lag */
	bool withheld; /* owns nothing yet */
	GArray *known_hosts; /* owned: hosts and when they were last listed */
};

void loom_ownership_init(
    struct loom_ownership *, uint64_t host_id, uint64_t list_lag_us);
void loom_ownership_clear(struct loom_ownership *);

void loom_ownership_set_slots(
    struct loom_ownership *, uint32_t declared, uint64_t now_us);
void loom_ownership_set_hosts(
    struct loom_ownership *, const struct loom_hosts *hosts, uint64_t now_us);

/* The part owned now, of LOOM_WHOLE.  To be called often: a long gap between
 * two calls is a pause of the process, after which it owns nothing until it
 * had time to learn a newer list. */
uint64_t loom_ownership_parts(struct loom_ownership *, uint64_t now_us);

#endif
