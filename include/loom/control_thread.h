#ifndef LOOM_CONTROL_THREAD_H
#define LOOM_CONTROL_THREAD_H

/*
 * The control thread: one event loop that owns the transport between daemons
 * and drives the parts (loom/control.h): messages by their type, ticks, new
 * manifests and host lists, the drain.
 *
 * Life: loom_control_new(), loom_control_add() for each part,
 * loom_control_start(), ..., loom_control_stop(), loom_control_free().
 * Before the start and after the stop everything belongs to the caller's
 * thread; in between only the functions marked "any thread" may be called
 * from outside.
 */

#include "loom/clock.h"
#include "loom/inner.h"

struct loom_control_options {
	struct loom_inner_options inner;
	struct loom_random random; /* spreads the first ticks */
};

struct loom_control;

/* Bind the control address.  Owned by the caller; NULL with
 * LOOM_INNER_SOCKET or LOOM_NO_MEMORY. */
struct loom_control *loom_control_new(
    const struct loom_control_options *, GError **error);

/* The address that was bound, "ip:port"; borrowed. */
const char *loom_control_address(const struct loom_control *);

/* The loop, for other event sources of this thread such as platform
 * readers.  Borrowed. */
struct tevent_context *loom_control_loop(struct loom_control *);

/*
 * How parts send.  Any thread; from another thread the message is copied and
 * posted.  A host is resolved by the address that itself gave in its latest
 * message, else by the host list, else by an older message; when none is
 * known the message is dropped and counted.  A message to this daemon itself
 * is delivered in a later turn of the loop.
 */
struct loom_sender loom_control_sender(struct loom_control *);

/* A host id that stands for an address ("ip:port") whose host is not known
 * yet: a seed of a starting daemon.  Before the start only. */
uint64_t loom_control_seed(struct loom_control *, const char *address);

/* Add a part; ops and part are borrowed and outlive the stop.  Before the
 * start only.  Two parts may not share a message type. */
void loom_control_add(
    struct loom_control *, const struct loom_part_ops *, void *part);

/* False when the thread cannot be made. */
bool loom_control_start(struct loom_control *);

/* Run work(arg) on the control thread, in the order of the posts.  Any
 * thread, from the start to the stop. */
void loom_control_post(
    struct loom_control *, void (*work)(void *arg), void *arg);

/* The part may have become busy: its next tick comes no later than busy parts'
 * do.  Control thread. */
void loom_control_hurry(struct loom_control *, const void *part);

/* Tell all parts and resolve by it from now on.  Any thread; acquired for as
 * long as needed. */
void loom_control_set_manifest(struct loom_control *, struct loom_manifest *);
void loom_control_set_hosts(struct loom_control *, struct loom_hosts *);

/* Tell all parts that the daemon is leaving.  Any thread. */
void loom_control_drain(struct loom_control *);

/* End the loop and join the thread.  Messages not yet on the wire are lost:
 * drain first and wait for what must arrive. */
void loom_control_stop(struct loom_control *);

void loom_control_free(struct loom_control *);

#endif
