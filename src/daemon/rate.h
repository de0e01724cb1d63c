#ifndef LOOM_DAEMON_RATE_H
#define LOOM_DAEMON_RATE_H

/*
 * Takes a token of the team's rate and burst for a root request.
 */

#include "daemon/call.h"

/* Takes a token, at once or after the few milliseconds that a loan takes,
 * and starts or refuses the call. */
void rate_take_token(struct call *);

/* Returns this daemon's current share of the rate of the call's team; false
 * if it has none. */
bool rate_state(const struct call *, struct loom_rights_status *);

/* Gives back the token of a call that has not run and never will, if it holds
 * one. */
void rate_give_back(struct call *);

/* Cancels the wait for a token. */
void rate_cancel(struct call *);

#endif
