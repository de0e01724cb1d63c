/*
 * Who should inherit a leaver's tickets: the live hosts of its service in the
 * order of a rendezvous hash, which differs from leaver to leaver, so that a
 * rolling replacement does not heap all tickets on one host.
 *
 * Nothing rests on two daemons agreeing about it.  The leaver alone chooses;
 * others only use the order to know whom to ask first.
 */

#include "decide/mix.h"
#include "loom/ticket.h"

/*
 * An idle leaver's hand-over takes milliseconds, a few tenths of a second for
 * each dead heir that it asked first.  One that lasts longer waits for calls
 * that still run, for up to ten seconds: a caller that is held for it hears
 * near its deadline what it could be told now, to come back with its ticket.
 */
#define MOVING_ASKS_MAX 20

static uint64_t
score(uint64_t leaver_host_id, uint64_t host_id)
{
	return mix_murmur(mix_murmur(leaver_host_id) ^ host_id);
}

/* Put id at its place among the n best; returns the new count. */
static size_t
insert(uint64_t *ids, size_t n, size_t max, uint64_t leaver, uint64_t id)
{
	size_t at = n;

	while (at > 0 && score(leaver, id) > score(leaver, ids[at - 1])) {
		if (at < max)
			ids[at] = ids[at - 1];
		at--;
	}
	if (at < max)
		ids[at] = id;
	return n < max ? n + 1 : max;
}

size_t
loom_ticket_heirs(const struct loom_hosts *hosts, uint64_t service_id,
    uint64_t leaver_host_id, uint64_t *host_ids, size_t max)
{
	const struct loom_host *host;
	uint32_t i, n;
	size_t count = 0;

	host = loom_hosts_of_service(hosts, service_id, &n);
	for (i = 0; i < n; i++) {
		if (host[i].state != LOOM_HOST_LIVE ||
		    host[i].id == leaver_host_id)
			continue;
		count =
		    insert(host_ids, count, max, leaver_host_id, host[i].id);
	}
	return count;
}

bool
loom_ticket_may_wait(uint32_t asked, uint64_t remaining_us)
{
	return asked < MOVING_ASKS_MAX &&
	    remaining_us >= 2 * LOOM_TICKET_MOVING_ASK_US;
}
