/*
 * An upstream that says that it leaves; see the header.
 */

#include <glib.h>

#include "decide/own_upstream.h"
#include "decide/stated_leaving.h"
#include "loom/balance.h"

bool
stated_leaving_parse(const char *text)
{
	return g_strcmp0(text, "1") == 0;
}

bool
stated_leaving_holds(uint64_t since_us, uint64_t now_us)
{
	return since_us != 0 && now_us - since_us < LOOM_LEFT_US;
}

bool
stated_leaving_accepts(uint64_t since_us, uint64_t now_us)
{
	return !stated_leaving_holds(since_us, now_us) ||
	    now_us - since_us < OWN_UPSTREAM_GRACE_US;
}
