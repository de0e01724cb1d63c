#ifndef LOOM_DECIDE_OWNERSHIP_H
#define LOOM_DECIDE_OWNERSHIP_H

/*
 * The share of every team that a daemon owns without asking another daemon:
 * 1/n.
 *
 * n is the number of slots that the manifest declares, or the number of hosts
 * recently seen on the host list if that is larger. An increase takes effect at
 * once, a decrease after a delay.
 *
 * The fleet keeps to each team's rate and burst as long as no more daemons run
 * than the declared slots. Beyond that number it depends on the host lists:
 * those of two daemons must not differ for longer than list_lag_us.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loom/hosts.h"

/*
 * How long a daemon owns nothing after it starts: longer than any loan of an
 * owned share runs (loan.h), because it cannot know what the previous process
 * on its host had lent.
 */
#define LOOM_OWN_WITHHELD_US UINT64_C(3300000)
#define LOOM_OWN_WITHHELD_LARGE_US UINT64_C(7300000)

/*
 * A fleet with more hosts than this counts as large, and its loans run longer.
 * A lender decides this by its host list alone; a daemon that starts uses the
 * larger of declared slots and host list. Declared slots must therefore be
 * lowered only after the hosts have gone.
 */
#define LOOM_OWN_LARGE_HOSTS 1024

/*
 * A host that was removed from the list may still run and use its share. It is
 * counted for this many list lags after its removal.
 */
#define LOOM_OWN_REMOVED_HOST_LAGS 6

struct loom_ownership {
	uint64_t host_id;
	uint64_t list_lag_us;
	uint64_t withheld_us; /* default: LOOM_OWN_WITHHELD_US */
	uint64_t newcomer_us; /* default: list_lag_us; see withhold_us() */
	/* when this host was last added to the list, or the last pause ended */
	uint64_t listed_us;
	uint64_t checked_us; /* time of the last loom_ownership_parts() call */
	uint32_t slots; /* the largest recent declaration */
	/* when a smaller declaration takes effect */
	uint64_t lower_slots_at_us;
	uint32_t declared;
	uint32_t shares; /* n */
	bool listed;
	/* was listed before, and owned a share then */
	bool was_listed;
	bool paused; /* the process was paused for longer than list_lag_us */
	bool withheld; /* owns nothing for now */
	GArray *known_hosts; /* owned; struct known_host */
};

void loom_ownership_init(
    struct loom_ownership *, uint64_t host_id, uint64_t list_lag_us);
void loom_ownership_clear(struct loom_ownership *);

void loom_ownership_set_slots(
    struct loom_ownership *, uint32_t declared, uint64_t now_us);
void loom_ownership_set_hosts(
    struct loom_ownership *, const struct loom_hosts *hosts, uint64_t now_us);

/*
 * The share owned now, in units of 1/LOOM_SHARE_WHOLE. Must be called often: a
 * gap longer than list_lag_us between two calls is taken for a pause of the
 * process, after which it owns nothing until it has had time to receive a newer
 * list.
 */
uint64_t loom_ownership_parts(struct loom_ownership *, uint64_t now_us);

#endif
