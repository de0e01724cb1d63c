#ifndef LOOM_CONTROL_THREAD_H
#define LOOM_CONTROL_THREAD_H

/*
 * The control thread: one event loop that owns the transport between daemons
 * and drives the components (loom/control.h).  It delivers messages by their
 * type, ticks, new manifests and host lists, and the drain.
 *
 * Lifecycle: loom_control_new(), loom_control_add() for each component,
 * loom_control_start(), ..., loom_control_stop(), loom_control_free().  Before
 * the start and after the stop everything belongs to the caller's thread; in
 * between only the functions marked "any thread" may be called from outside.
 */

#include "loom/clock.h"
#include "loom/inner.h"

struct loom_control_options {
	struct loom_inner_options inner;
	struct loom_random random; /* picks the time of the first ticks */
};

struct loom_control;

/*
 * Creates the control and binds its address.  Owned by the caller; NULL with
 * LOOM_INNER_SOCKET or LOOM_NO_MEMORY.
 */
struct loom_control *loom_control_new(
    const struct loom_control_options *, GError **error);

/* Returns the bound address, "ip:port"; borrowed. */
const char *loom_control_address(const struct loom_control *);

/*
 * Returns the event loop, for other event sources of this thread such as
 * platform readers.  Borrowed.
 */
struct tevent_context *loom_control_loop(struct loom_control *);

/*
 * Returns the sender for components.  Any thread; from another thread the
 * message is copied and posted.  A host is resolved by the address that it sent
 * in its latest message if that is recent, else by the host list, else by an
 * older message; if no address is known, the message is dropped and counted.  A
 * message to this daemon itself is delivered in a later iteration of the loop.
 */
struct loom_sender loom_control_sender(struct loom_control *);

/*
 * Returns a host id that stands for an address ("ip:port") whose host is not
 * known yet: a seed, which a starting daemon contacts first.  Before the start
 * only.
 */
uint64_t loom_control_add_seed(struct loom_control *, const char *address);

/*
 * Adds a component. ops and component are borrowed and must outlive the stop.
 * Before the start only.  Two components must not share a message type.
 */
void loom_control_add(
    struct loom_control *, const struct loom_component_ops *, void *component);

/* Returns false if the thread cannot be created. */
bool loom_control_start(struct loom_control *);

/*
 * Runs work(arg) on the control thread, in the order of the posts.  Any thread,
 * between the start and the stop.
 */
void loom_control_post(
    struct loom_control *, void (*work)(void *arg), void *arg);

/*
 * Tells the control that the component may have become busy, so that its next
 * tick follows within busy_tick_us.  Control thread.
 */
void loom_control_shorten_tick(struct loom_control *, const void *component);

/*
 * Pass a new manifest or host list to all components; hosts are resolved by the
 * new list from then on.  Any thread; acquired for as long as needed.
 */
void loom_control_set_manifest(struct loom_control *, struct loom_manifest *);
void loom_control_set_hosts(struct loom_control *, struct loom_hosts *);

/* Tells all components that the daemon is shutting down.  Any thread. */
void loom_control_drain(struct loom_control *);

/*
 * Ends the loop and joins the thread.  Messages that are not sent yet are lost:
 * drain first and wait for what must arrive.
 */
void loom_control_stop(struct loom_control *);

void loom_control_free(struct loom_control *);

#endif
