#ifndef LOOM_WORK_COST_H
#define LOOM_WORK_COST_H

/*
 * Learns what calls of each class cost at the upstream of this host, as a
 * distribution: calls that look alike may differ tenfold.  Not thread-safe.
 */

#include <stdint.h>

/* Classes that are told apart; the one used longest ago is replaced. */
#define LOOM_WORK_CLASSES 64

struct loom_work_costs;

/* Owned by ctx. */
struct loom_work_costs *loom_work_costs_new(void *ctx);

/*
 * A call of this class ended well.  slot_us is how long it held a slot; own_us
 * the part of that without the calls that the upstream made for it.
 */
void loom_work_costs_note(struct loom_work_costs *, uint64_t class_id,
    uint64_t slot_us, uint64_t own_us, uint64_t now_us);

/*
 * Returns the mean time that a call of the class holds a slot; the mean of all
 * classes for one that is unknown, and 0 if nothing is known yet.
 */
double loom_work_costs_slot_us(
    const struct loom_work_costs *, uint64_t class_id);

/* The same, without the calls that the upstream makes. */
double loom_work_costs_own_us(
    const struct loom_work_costs *, uint64_t class_id);

/* Returns the mean time that a call holds a slot, over all classes; 0 if none
 * is known. */
double loom_work_costs_mean_slot_us(const struct loom_work_costs *);

/* Returns the part of the slot time that calls spend without waiting for calls
 * of their own, over all classes; 1 if none is known. */
double loom_work_costs_own_share(const struct loom_work_costs *);

/*
 * Returns how much the costs of the classes differ: the mean square of a call's
 * class mean over the square of its mean.  1: all cost the same; 2: a call that
 * is found in a slot costs twice the mean call; 0: too few calls to tell.
 */
double loom_work_costs_dispersion(const struct loom_work_costs *);

/*
 * Returns the expected time for which a call goes on holding its slot that has
 * held it for elapsed_us: the longer it has run, the longer it is likely to run
 * on where the distribution has a heavy tail.
 */
double loom_work_costs_remaining_us(
    const struct loom_work_costs *, uint64_t class_id, uint64_t elapsed_us);

#endif
