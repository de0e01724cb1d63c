/*
 * Selects candidates to take over the tickets of a host that shuts down: the
 * live hosts of its service, ordered by rendezvous hashing.  The order differs
 * from host to host, so that a rolling replacement does not move all tickets to
 * one host.
 *
 * Daemons need not agree on the order.  The host that shuts down chooses its
 * successor alone; other daemons only use the order to decide whom to query
 * first.
 */

#include "decide/mix.h"
#include "loom/ticket.h"

/*
 * Bounds the time that a call is held while its ticket is being handed over: 20
 * polls, 2 s.  The handover of an idle host takes milliseconds, plus a few
 * tenths of a second for each dead candidate that it asked first.  A longer one
 * waits for calls that are still running, for up to 10 s; there it is better to
 * tell the caller early to retry with the same ticket than to hold it until
 * near its deadline.
 */
#define MOVING_POLLS_MAX 20

static uint64_t
rendezvous_weight(uint64_t source_host_id, uint64_t host_id)
{
	return mix_murmur3(mix_murmur3(source_host_id) ^ host_id);
}

/*
 * Inserts id into the list of the max ids of highest weight, which holds n of
 * them, and returns the new length.
 */
static size_t
insert_ranked(uint64_t *ids, size_t n, size_t max, uint64_t source, uint64_t id)
{
	size_t at = n;

	while (at > 0 &&
	    rendezvous_weight(source, id) >
		rendezvous_weight(source, ids[at - 1])) {
		if (at < max)
			ids[at] = ids[at - 1];
		at--;
	}
	if (at < max)
		ids[at] = id;
	return n < max ? n + 1 : max;
}

size_t
loom_ticket_successors(const struct loom_hosts *hosts, uint64_t service_id,
    uint64_t source_host_id, uint64_t *host_ids, size_t max)
{
	const struct loom_host *host;
	uint32_t i, n;
	size_t count = 0;

	host = loom_hosts_of_service(hosts, service_id, &n);
	for (i = 0; i < n; i++) {
		if (host[i].state != LOOM_HOST_LIVE ||
		    host[i].id == source_host_id)
			continue;
		count = insert_ranked(
		    host_ids, count, max, source_host_id, host[i].id);
	}
	return count;
}

bool
loom_ticket_may_poll(uint32_t polls, uint64_t remaining_us)
{
	return polls < MOVING_POLLS_MAX &&
	    remaining_us >= 2 * LOOM_TICKET_MOVING_POLL_US;
}
