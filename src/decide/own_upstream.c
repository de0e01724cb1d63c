/*
 * The state of the upstream beside a daemon (own_upstream.h).
 */

#include <string.h>

#include "decide/own_upstream.h"

void
own_upstream_update(struct own_upstream *upstream, const struct loom_host *host,
    uint64_t now_us)
{
	const bool has_left =
	    host == NULL || host->state == LOOM_HOST_LEAVING || host->evacuated;

	/*
	 * The instance is kept once the entry has gone.  A call that is sent
	 * without it would be run by whatever has the address now.
	 */
	if (host != NULL)
		memcpy(upstream->instance, host->instance,
		    sizeof(upstream->instance));
	if (has_left && !upstream->has_left)
		upstream->left_us = now_us;
	upstream->has_left = has_left;
}

bool
own_upstream_accepts(const struct own_upstream *upstream, uint64_t now_us)
{
	return !upstream->has_left ||
	    now_us - upstream->left_us < OWN_UPSTREAM_GRACE_US;
}
