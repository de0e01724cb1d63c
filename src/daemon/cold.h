#ifndef LOOM_DAEMON_COLD_H
#define LOOM_DAEMON_COLD_H

/*
 * Keeps admission informed whether the own upstream is cold
 * (decide/cold_watch.h), and asks the upstream itself when only it can know.
 */

#include "loom/hosts.h"
#include "loom/manifest.h"

struct cold;
struct loom_daemon;

/* The result belongs to the daemon. */
struct cold *cold_new(struct loom_daemon *);

/* To be called with each new manifest or host list. Control thread. */
void cold_publish(
    struct cold *, const struct loom_manifest *, const struct loom_hosts *);

/* A leg to the upstream has ended. Any thread. */
void cold_note_leg(struct cold *, bool complete);

/* The upstream does not accept connections. Any thread. */
void cold_note_down(struct cold *);

/* Calls that may be sent in a second to a cold upstream of this service; 0: any
 * number. */
uint32_t cold_starts_max(
    const struct loom_daemon *, const struct loom_service *);

/* Starts a health request if one is due. Main thread. */
void cold_tick(struct cold *);

#endif
