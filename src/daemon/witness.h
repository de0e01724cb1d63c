#ifndef LOOM_DAEMON_WITNESS_H
#define LOOM_DAEMON_WITNESS_H

/*
 * Idle connections to the own upstream, called witnesses, which tell a crash of
 * the upstream from a single broken connection (decide/crash_check.h). Nothing
 * is ever sent on them.
 */

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct witnesses;

/*
 * Opens the witnesses and checks them periodically on the event loop. The
 * result belongs to the talloc context.
 */
struct witnesses *witnesses_new(
    TALLOC_CTX *, struct tevent_context *, const struct sockaddr_in *upstream);

/*
 * To be called when a call's connection broke. Returns whether all witnesses
 * were closed together with it, which means that the upstream crashed. Any
 * thread.
 */
bool witnesses_detect_crash(struct witnesses *, uint64_t now_us);

#endif
