/*
 * The limit of a wait.
 */

#include "support/loop.h"

#define LIMIT_S 30

static void
fired(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
    void *arg)
{
	bool *passed = arg;

	(void)ev;
	(void)timer;
	(void)now;
	*passed = true;
}

struct tevent_timer *
test_loop_limit(TALLOC_CTX *mem, struct tevent_context *ev, bool *passed)
{
	return tevent_add_timer(
	    ev, mem, tevent_timeval_current_ofs(LIMIT_S, 0), fired, passed);
}
