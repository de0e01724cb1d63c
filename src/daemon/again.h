#ifndef LOOM_DAEMON_AGAIN_H
#define LOOM_DAEMON_AGAIN_H

/*
 * Trying another host for a call that was refused or failed.
 */

#include "daemon/call.h"

/* True when the refusal is dealt with: the request's home was asked, and the
 * call goes on or is refused by what it says. */
bool again_ask(struct call *, const struct loom_refusal *);

/* Refuse with what again_ask() was given, marked final. */
void again_give_up(struct call *);

/* The call is given up: wait no longer. */
void again_leave(struct call *);

#endif
