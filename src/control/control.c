/*
 * The control thread.
 *
 * All parts run on one thread, one call at a time, so that a part needs locks
 * only against the workers that call into it.  What other threads want done
 * comes in through a mailbox.
 *
 * Ticks start at a random point of their period: daemons that were started
 * together would otherwise all send in the same moment for ever.  After a
 * pause of the process a tick comes once, not once for each one missed.
 */

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "control/resolve.h"
#include "loom/control_thread.h"
#include "loom/counter.h"
#include "loom/log.h"
#include "loom/mailbox.h"

#define PARTS_MAX 16

struct control_part {
	const struct loom_part_ops *ops; /* borrowed */
	void *part; /* borrowed */
	struct loom_control *control; /* borrowed */
	struct tevent_timer *timer; /* owned by the control */
	bool slow; /* the timer was set while the part was idle */
};

struct loom_control {
	struct tevent_context *ev; /* owned */
	struct loom_mailbox *mailbox; /* owned */
	struct loom_inner *inner; /* owned */
	struct resolver *resolver; /* owned */
	struct loom_self self;
	struct loom_random random;
	struct control_part parts[PARTS_MAX];
	uint32_t nparts;
	struct control_part *by_type[LOOM_MESSAGE_TYPES];
	pthread_t thread;
	bool started;
	bool stopping; /* control thread only */
	struct loom_counter *unresolved; /* borrowed */
	struct loom_counter *unknown_type; /* borrowed */
};

/* The control whose loop runs on this thread. */
static _Thread_local const struct loom_control *running;

/* Work of another thread, or a message to this daemon itself. */
struct errand {
	struct loom_control *control; /* borrowed */
	uint64_t host_id;
	struct loom_manifest *manifest; /* acquired or NULL */
	struct loom_hosts *hosts; /* acquired or NULL */
	uint8_t type;
	size_t len;
	uint8_t payload[];
};

static void hurry(struct control_part *part);

static struct errand *
errand_new(struct loom_control *control, const void *payload, size_t len)
{
	struct errand *errand = g_malloc0(sizeof(*errand) + len);

	errand->control = control;
	errand->len = len;
	if (len > 0)
		memcpy(errand->payload, payload, len);
	return errand;
}

static void
dispatch(struct loom_control *control, const struct loom_from *from,
    uint8_t type, const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct control_part *part = control->by_type[type];

	if (part == NULL || part->ops->message == NULL) {
		loom_counter_add(control->unknown_type, 1);
		return;
	}
	part->ops->message(part->part, from, type, payload, len, now_us);
	hurry(part);
}

static void
receive(void *arg, const struct loom_message *message, uint64_t now_us)
{
	struct loom_control *control = arg;

	if (message->control[0] != '\0')
		resolver_learn(control->resolver, message->from.host_id,
		    message->control, now_us);
	dispatch(control, &message->from, message->type, message->payload,
	    message->len, now_us);
}

static void
deliver_to_self(void *arg)
{
	struct errand *errand = arg;
	struct loom_from from = {
		.host_id = errand->control->self.host_id,
		.incarnation = errand->control->self.incarnation,
	};

	dispatch(errand->control, &from, errand->type, errand->payload,
	    errand->len, loom_now_us());
	g_free(errand);
}

static void
send_to(struct loom_control *control, uint64_t host_id, uint8_t type,
    const void *payload, size_t len)
{
	const char *address;

	address = resolver_find(control->resolver, host_id, loom_now_us());
	if (address == NULL) {
		loom_counter_add(control->unresolved, 1);
		return;
	}
	loom_inner_send(control->inner, address, type, payload, len);
}

static void
send_posted(void *arg)
{
	struct errand *errand = arg;

	send_to(errand->control, errand->host_id, errand->type, errand->payload,
	    errand->len);
	g_free(errand);
}

static void
control_send(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct loom_control *control = arg;
	bool to_self = host_id == control->self.host_id;
	struct errand *errand;

	if (!to_self && running == control) {
		send_to(control, host_id, type, payload, len);
		return;
	}
	errand = errand_new(control, payload, len);
	errand->host_id = host_id;
	errand->type = type;
	loom_control_post(
	    control, to_self ? deliver_to_self : send_posted, errand);
}

static void schedule_tick(struct control_part *part, uint64_t delay_us);

static bool
is_busy(const struct control_part *part)
{
	return part->ops->busy_tick_us > 0 && part->ops->busy(part->part);
}

static uint64_t
next_tick_us(struct control_part *part)
{
	part->slow = !is_busy(part);
	return part->slow ? part->ops->tick_us : part->ops->busy_tick_us;
}

static void
hurry(struct control_part *part)
{
	if (!part->slow || part->timer == NULL || !is_busy(part))
		return;
	TALLOC_FREE(part->timer);
	schedule_tick(part, next_tick_us(part));
}

static void
tick(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
    void *arg)
{
	struct control_part *part = arg;

	(void)ev;
	(void)timer;
	(void)now;
	part->timer = NULL;
	part->ops->tick(part->part, loom_now_us());
	schedule_tick(part, next_tick_us(part));
}

static void
schedule_tick(struct control_part *part, uint64_t delay_us)
{
	part->timer = tevent_add_timer(part->control->ev, part->control->ev,
	    tevent_timeval_current_ofs((uint32_t)(delay_us / LOOM_US_PER_S),
		(uint32_t)(delay_us % LOOM_US_PER_S)),
	    tick, part);
}

static void
start_ticks(struct loom_control *control)
{
	struct control_part *part;
	uint32_t i;

	for (i = 0; i < control->nparts; i++) {
		part = &control->parts[i];
		if (part->ops->tick != NULL && part->ops->tick_us > 0)
			schedule_tick(part,
			    loom_random_below(
				&control->random, part->ops->tick_us));
	}
}

static void *
run(void *arg)
{
	struct loom_control *control = arg;

	running = control;
	while (!control->stopping) {
		if (tevent_loop_once(control->ev) != 0) {
			loom_log(LOOM_LOG_ERROR, "control", LOOM_INTERNAL,
			    "the control thread's loop failed");
			break;
		}
	}
	running = NULL;
	return NULL;
}

struct loom_control *
loom_control_new(const struct loom_control_options *options, GError **error)
{
	struct loom_control *control = talloc_zero(NULL, struct loom_control);

	if (control == NULL) {
		loom_fail(error, LOOM_NO_MEMORY, "control thread");
		return NULL;
	}
	control->self = options->inner.self;
	control->random = options->random;
	control->ev = tevent_context_init(control);
	control->resolver = resolver_new(control);
	if (control->ev != NULL)
		control->mailbox = loom_mailbox_new(control, control->ev);
	if (control->resolver == NULL || control->mailbox == NULL) {
		loom_fail(error, LOOM_NO_MEMORY, "control thread");
		goto error;
	}
	control->inner = loom_inner_new(
	    control, control->ev, &options->inner, receive, control, error);
	if (control->inner == NULL)
		goto error;
	control->unresolved = loom_counter("loom_control_unresolved_total",
	    NULL, "Messages dropped: the host's address is unknown.");
	control->unknown_type = loom_counter("loom_control_unknown_type_total",
	    NULL, "Messages dropped: no part takes their type.");
	return control;

error:
	loom_control_free(control);
	return NULL;
}

const char *
loom_control_address(const struct loom_control *control)
{
	return loom_inner_address(control->inner);
}

struct tevent_context *
loom_control_loop(struct loom_control *control)
{
	return control->ev;
}

struct loom_sender
loom_control_sender(struct loom_control *control)
{
	return (struct loom_sender){ .send = control_send, .arg = control };
}

uint64_t
loom_control_seed(struct loom_control *control, const char *address)
{
	uint64_t host_id = loom_name_id(address);

	resolver_pin(control->resolver, host_id, address);
	return host_id;
}

void
loom_control_add(
    struct loom_control *control, const struct loom_part_ops *ops, void *part)
{
	struct control_part *own;
	unsigned type;

	g_assert(!control->started && control->nparts < PARTS_MAX);
	own = &control->parts[control->nparts++];
	*own = (struct control_part){
		.ops = ops,
		.part = part,
		.control = control,
	};
	for (type = ops->first_type;
	     ops->message != NULL && type <= ops->last_type; type++) {
		g_assert(control->by_type[type] == NULL);
		control->by_type[type] = own;
	}
}

bool
loom_control_start(struct loom_control *control)
{
	start_ticks(control);
	control->started =
	    pthread_create(&control->thread, NULL, run, control) == 0;
	return control->started;
}

void
loom_control_post(
    struct loom_control *control, void (*work)(void *arg), void *arg)
{
	loom_mailbox_post(control->mailbox, work, arg);
}

void
loom_control_hurry(struct loom_control *control, const void *which)
{
	uint32_t i;

	for (i = 0; i < control->nparts; i++) {
		if (control->parts[i].part == which)
			hurry(&control->parts[i]);
	}
}

static void
tell_parts(const struct errand *errand,
    void (*tell)(const struct control_part *, const struct errand *))
{
	const struct loom_control *control = errand->control;
	uint32_t i;

	for (i = 0; i < control->nparts; i++)
		tell(&control->parts[i], errand);
}

static void
tell_part_manifest(const struct control_part *part, const struct errand *errand)
{
	if (part->ops->manifest_changed != NULL)
		part->ops->manifest_changed(
		    part->part, errand->manifest, loom_now_us());
}

static void
tell_manifest(void *arg)
{
	struct errand *errand = arg;

	tell_parts(errand, tell_part_manifest);
	loom_manifest_release(errand->manifest);
	g_free(errand);
}

static void
tell_part_hosts(const struct control_part *part, const struct errand *errand)
{
	if (part->ops->hosts_changed != NULL)
		part->ops->hosts_changed(
		    part->part, errand->hosts, loom_now_us());
}

static void
tell_hosts(void *arg)
{
	struct errand *errand = arg;

	resolver_set_hosts(errand->control->resolver, errand->hosts);
	tell_parts(errand, tell_part_hosts);
	loom_hosts_release(errand->hosts);
	g_free(errand);
}

static void
tell_part_drain(const struct control_part *part, const struct errand *errand)
{
	(void)errand;
	if (part->ops->drain != NULL)
		part->ops->drain(part->part, loom_now_us());
}

static void
tell_drain(void *arg)
{
	struct errand *errand = arg;

	tell_parts(errand, tell_part_drain);
	g_free(errand);
}

void
loom_control_set_manifest(
    struct loom_control *control, struct loom_manifest *manifest)
{
	struct errand *errand = errand_new(control, NULL, 0);

	errand->manifest = loom_manifest_acquire(manifest);
	loom_control_post(control, tell_manifest, errand);
}

void
loom_control_set_hosts(struct loom_control *control, struct loom_hosts *hosts)
{
	struct errand *errand = errand_new(control, NULL, 0);

	errand->hosts = loom_hosts_acquire(hosts);
	loom_control_post(control, tell_hosts, errand);
}

void
loom_control_drain(struct loom_control *control)
{
	loom_control_post(control, tell_drain, errand_new(control, NULL, 0));
}

static void
stop_now(void *arg)
{
	struct loom_control *control = arg;

	control->stopping = true;
}

void
loom_control_stop(struct loom_control *control)
{
	if (!control->started)
		return;
	loom_control_post(control, stop_now, control);
	pthread_join(control->thread, NULL);
	control->started = false;
}

void
loom_control_free(struct loom_control *control)
{
	loom_control_stop(control);
	/* The loop goes last: the others hold events of it. */
	talloc_free(control->inner);
	talloc_free(control->mailbox);
	talloc_free(control);
}
