/*
 * The time limit of WAIT().
 */

#include "support/wait.h"

#define WAIT_LIMIT_S 30

static void
limit_expired(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	bool *passed = arg;

	(void)ev;
	(void)timer;
	(void)now;
	*passed = true;
}

struct tevent_timer *
test_wait_limit(TALLOC_CTX *mem, struct tevent_context *ev, bool *passed)
{
	return tevent_add_timer(ev, mem,
	    tevent_timeval_current_ofs(WAIT_LIMIT_S, 0), limit_expired, passed);
}
