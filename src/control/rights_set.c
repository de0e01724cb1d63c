/*
 * Partitions of the teams, each with pools of its own.
 *
 * Load pattern: many teams with calls at all hosts, a few per second for each
 * team and host. No host can hold tokens of all teams in advance, so nearly
 * every call costs a request to its pool. With one pool for all teams, the
 * requests of the whole fleet went to one process. With 66 daemons and 75 teams
 * it ran out of processor time, responses arrived after the calls had stopped
 * waiting, and every daemon refused teams far below their rates for as long as
 * callers retried.
 */

#include "loom/rights_set.h"

/*
 * Tick while calls wait; the resolution of their timeouts and of responses to
 * children.
 */
#define TICK_US 2000
/* Tick while no call waits; it only renews loans. */
#define IDLE_TICK_US 20000

struct loom_rights_set {
	uint32_t n;
	struct loom_rights *partitions[LOOM_RIGHTS_PARTITIONS_MAX]; /* owned */
};

struct loom_rights_set *
loom_rights_set_new(TALLOC_CTX *ctx, const struct loom_self *self,
    const struct loom_sender *sender, const struct loom_random *random,
    const struct loom_rights_waker *waker,
    const struct loom_rights_settings *settings, uint64_t now_us)
{
	struct loom_rights_set *set = talloc_zero(ctx, struct loom_rights_set);
	struct loom_rights_settings one = *settings;

	if (set == NULL)
		return NULL;
	set->n = CLAMP(
	    settings->partitions, 1, (uint32_t)LOOM_RIGHTS_PARTITIONS_MAX);
	one.partitions = set->n;
	for (one.partition = 0; one.partition < set->n; one.partition++) {
		set->partitions[one.partition] = loom_rights_new(
		    set, self, sender, random, waker, &one, now_us);
	}
	return set;
}

struct loom_rights *
loom_rights_set_find(const struct loom_rights_set *set, uint64_t team_id)
{
	return set->partitions[loom_rights_partition(team_id, set->n)];
}

uint32_t
loom_rights_set_count(const struct loom_rights_set *set)
{
	return set->n;
}

struct loom_rights *
loom_rights_set_at(const struct loom_rights_set *set, uint32_t i)
{
	return set->partitions[i];
}

void
loom_rights_set_run(struct loom_rights_set *set, uint64_t now_us)
{
	uint32_t i;

	for (i = 0; i < set->n; i++)
		loom_rights_run(set->partitions[i], now_us);
}

static bool
busy(void *part)
{
	const struct loom_rights_set *set = part;
	uint32_t i;

	for (i = 0; i < set->n; i++) {
		if (loom_rights_ops.busy(set->partitions[i]))
			return true;
	}
	return false;
}

static void
message(void *part, const struct loom_message_source *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	const struct loom_rights_set *set = part;
	uint32_t i = (type - LOOM_RIGHTS_UP) / (uint32_t)LOOM_RIGHTS_MESSAGES;

	/* The sender has more partitions than this daemon. */
	if (i >= set->n)
		return;
	loom_rights_ops.message(
	    set->partitions[i], from, type, payload, len, now_us);
}

static void
tick(void *part, uint64_t now_us)
{
	const struct loom_rights_set *set = part;
	uint32_t i;

	for (i = 0; i < set->n; i++)
		loom_rights_ops.tick(set->partitions[i], now_us);
}

static void
manifest_changed(void *part, struct loom_manifest *manifest, uint64_t now_us)
{
	const struct loom_rights_set *set = part;
	uint32_t i;

	for (i = 0; i < set->n; i++)
		loom_rights_ops.manifest_changed(
		    set->partitions[i], manifest, now_us);
}

static void
hosts_changed(void *part, struct loom_hosts *hosts, uint64_t now_us)
{
	const struct loom_rights_set *set = part;
	uint32_t i;

	for (i = 0; i < set->n; i++)
		loom_rights_ops.hosts_changed(
		    set->partitions[i], hosts, now_us);
}

static void
drain(void *part, uint64_t now_us)
{
	const struct loom_rights_set *set = part;
	uint32_t i;

	for (i = 0; i < set->n; i++)
		loom_rights_ops.drain(set->partitions[i], now_us);
}

const struct loom_component_ops loom_rights_set_ops = {
	.name = "rights",
	.first_type = LOOM_RIGHTS_UP,
	.last_type = LOOM_RIGHTS_UP +
	    LOOM_RIGHTS_MESSAGES * LOOM_RIGHTS_PARTITIONS_MAX - 1,
	.tick_us = IDLE_TICK_US,
	.busy_tick_us = TICK_US,
	.busy = busy,
	.message = message,
	.tick = tick,
	.manifest_changed = manifest_changed,
	.hosts_changed = hosts_changed,
	.drain = drain,
};
