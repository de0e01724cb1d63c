/*
 * The control thread.
 *
 * Runs all components on one thread, one callback at a time, so that a
 * component needs locks only against the workers that call into it.  Other
 * threads submit jobs through a mailbox.
 *
 * The first tick of a component comes at a random point of its period.
 * Otherwise daemons that were started together would always send at the same
 * moment.  After a pause of the process a tick runs once, not once for each
 * period missed.
 */

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "control/resolver.h"
#include "loom/control_thread.h"
#include "loom/counter.h"
#include "loom/log.h"
#include "loom/mailbox.h"
#include "loom/timer.h"

#define COMPONENTS_MAX 16

struct control_component {
	const struct loom_component_ops *ops; /* borrowed */
	void *object; /* borrowed */
	struct loom_control *control; /* borrowed */
	struct loom_timer *timer; /* owned by the control */
	/* timer was set with the period of an idle component */
	bool timer_is_idle;
};

struct loom_control {
	struct tevent_context *ev; /* owned */
	struct loom_timers *timers; /* owned */
	struct loom_mailbox *mailbox; /* owned */
	struct loom_inner *inner; /* owned */
	struct resolver *resolver; /* owned */
	struct loom_self self;
	struct loom_random random;
	struct control_component components[COMPONENTS_MAX];
	uint32_t component_count;
	struct control_component *by_type[LOOM_MESSAGE_TYPES];
	pthread_t thread;
	bool started;
	bool stopping; /* control thread only */
	struct loom_counter *unresolved; /* borrowed */
	struct loom_counter *unknown_type; /* borrowed */
};

/* The control whose loop runs on this thread. */
static _Thread_local const struct loom_control *running_control;

/* A job posted by another thread, or a message from this daemon to itself. */
struct control_job {
	struct loom_control *control; /* borrowed */
	uint64_t host_id;
	struct loom_manifest *manifest; /* acquired, or NULL */
	struct loom_hosts *hosts; /* acquired, or NULL */
	uint8_t type;
	size_t len;
	uint8_t payload[];
};

static void shorten_tick_delay(struct control_component *component);

static struct control_job *
job_new(struct loom_control *control, const void *payload, size_t len)
{
	struct control_job *job = g_malloc0(sizeof(*job) + len);

	job->control = control;
	job->len = len;
	if (len > 0)
		memcpy(job->payload, payload, len);
	return job;
}

static void
dispatch(struct loom_control *control, const struct loom_message_source *from,
    uint8_t type, const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct control_component *component = control->by_type[type];

	if (component == NULL || component->ops->message == NULL) {
		loom_counter_add(control->unknown_type, 1);
		return;
	}
	component->ops->message(
	    component->object, from, type, payload, len, now_us);
	shorten_tick_delay(component);
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
	struct control_job *job = arg;
	struct loom_message_source from = {
		.host_id = job->control->self.host_id,
		.incarnation = job->control->self.incarnation,
	};

	dispatch(job->control, &from, job->type, job->payload, job->len,
	    loom_now_us());
	g_free(job);
}

static void
send_now(struct loom_control *control, uint64_t host_id, uint8_t type,
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
send_job(void *arg)
{
	struct control_job *job = arg;

	send_now(job->control, job->host_id, job->type, job->payload, job->len);
	g_free(job);
}

static void
control_send(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct loom_control *control = arg;
	bool to_self = host_id == control->self.host_id;
	struct control_job *job;

	if (!to_self && running_control == control) {
		send_now(control, host_id, type, payload, len);
		return;
	}
	job = job_new(control, payload, len);
	job->host_id = host_id;
	job->type = type;
	loom_control_post(control, to_self ? deliver_to_self : send_job, job);
}

static void schedule_tick(
    struct control_component *component, uint64_t delay_us);

static bool
is_busy(const struct control_component *component)
{
	return component->ops->busy_tick_us > 0 &&
	    component->ops->busy(component->object);
}

static uint64_t
next_tick_us(struct control_component *component)
{
	component->timer_is_idle = !is_busy(component);
	return component->timer_is_idle ? component->ops->tick_us
					: component->ops->busy_tick_us;
}

/*
 * Reschedules the next tick of a component that has become busy since its timer
 * was set with the idle period.
 */
static void
shorten_tick_delay(struct control_component *component)
{
	if (!component->timer_is_idle || component->timer == NULL ||
	    !is_busy(component))
		return;
	TALLOC_FREE(component->timer);
	schedule_tick(component, next_tick_us(component));
}

static void
tick(void *arg)
{
	struct control_component *component = arg;

	component->timer = NULL;
	component->ops->tick(component->object, loom_now_us());
	schedule_tick(component, next_tick_us(component));
}

static void
schedule_tick(struct control_component *component, uint64_t delay_us)
{
	component->timer = loom_timer_add(component->control->timers,
	    component->control->timers, delay_us, tick, component);
}

static void
start_ticks(struct loom_control *control)
{
	struct control_component *component;
	uint32_t i;

	for (i = 0; i < control->component_count; i++) {
		component = &control->components[i];
		if (component->ops->tick != NULL && component->ops->tick_us > 0)
			schedule_tick(component,
			    loom_random_below(
				&control->random, component->ops->tick_us));
	}
}

static void *
run(void *arg)
{
	struct loom_control *control = arg;

	running_control = control;
	while (!control->stopping) {
		if (tevent_loop_once(control->ev) != 0) {
			loom_log(LOOM_LOG_ERROR, "control", LOOM_INTERNAL,
			    "the control thread's loop failed");
			break;
		}
	}
	running_control = NULL;
	return NULL;
}

struct loom_control *
loom_control_new(const struct loom_control_options *options, GError **error)
{
	struct loom_control *control = talloc_zero(NULL, struct loom_control);

	if (control == NULL) {
		loom_set_error(error, LOOM_NO_MEMORY, "control thread");
		return NULL;
	}
	control->self = options->inner.self;
	control->random = options->random;
	control->ev = tevent_context_init(control);
	control->resolver = resolver_new(control);
	if (control->ev != NULL) {
		control->timers = loom_timers_new(control, control->ev);
		control->mailbox = loom_mailbox_new(control, control->ev);
	}
	if (control->resolver == NULL || control->timers == NULL ||
	    control->mailbox == NULL) {
		loom_set_error(error, LOOM_NO_MEMORY, "control thread");
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
loom_control_add_seed(struct loom_control *control, const char *address)
{
	uint64_t host_id = loom_name_id(address);

	resolver_pin(control->resolver, host_id, address);
	return host_id;
}

void
loom_control_add(struct loom_control *control,
    const struct loom_component_ops *ops, void *component)
{
	struct control_component *added;
	unsigned type;

	g_assert(
	    !control->started && control->component_count < COMPONENTS_MAX);
	added = &control->components[control->component_count++];
	*added = (struct control_component){
		.ops = ops,
		.object = component,
		.control = control,
	};
	for (type = ops->first_type;
	     ops->message != NULL && type <= ops->last_type; type++) {
		g_assert(control->by_type[type] == NULL);
		control->by_type[type] = added;
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
loom_control_shorten_tick(struct loom_control *control, const void *target)
{
	uint32_t i;

	for (i = 0; i < control->component_count; i++) {
		if (control->components[i].object == target)
			shorten_tick_delay(&control->components[i]);
	}
}

static void
notify_components(const struct control_job *job,
    void (*notify)(
	const struct control_component *, const struct control_job *))
{
	const struct loom_control *control = job->control;
	uint32_t i;

	for (i = 0; i < control->component_count; i++)
		notify(&control->components[i], job);
}

static void
notify_component_manifest(
    const struct control_component *component, const struct control_job *job)
{
	if (component->ops->manifest_changed != NULL)
		component->ops->manifest_changed(
		    component->object, job->manifest, loom_now_us());
}

static void
notify_manifest(void *arg)
{
	struct control_job *job = arg;

	notify_components(job, notify_component_manifest);
	loom_manifest_release(job->manifest);
	g_free(job);
}

static void
notify_component_hosts(
    const struct control_component *component, const struct control_job *job)
{
	if (component->ops->hosts_changed != NULL)
		component->ops->hosts_changed(
		    component->object, job->hosts, loom_now_us());
}

static void
notify_hosts(void *arg)
{
	struct control_job *job = arg;

	resolver_set_hosts(job->control->resolver, job->hosts);
	notify_components(job, notify_component_hosts);
	loom_hosts_release(job->hosts);
	g_free(job);
}

static void
notify_component_drain(
    const struct control_component *component, const struct control_job *job)
{
	(void)job;
	if (component->ops->drain != NULL)
		component->ops->drain(component->object, loom_now_us());
}

static void
notify_drain(void *arg)
{
	struct control_job *job = arg;

	notify_components(job, notify_component_drain);
	g_free(job);
}

void
loom_control_set_manifest(
    struct loom_control *control, struct loom_manifest *manifest)
{
	struct control_job *job = job_new(control, NULL, 0);

	job->manifest = loom_manifest_acquire(manifest);
	loom_control_post(control, notify_manifest, job);
}

void
loom_control_set_hosts(struct loom_control *control, struct loom_hosts *hosts)
{
	struct control_job *job = job_new(control, NULL, 0);

	job->hosts = loom_hosts_acquire(hosts);
	loom_control_post(control, notify_hosts, job);
}

void
loom_control_drain(struct loom_control *control)
{
	loom_control_post(control, notify_drain, job_new(control, NULL, 0));
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
	/* The event loop is freed last because the others hold events of it. */
	talloc_free(control->inner);
	talloc_free(control->mailbox);
	talloc_free(control);
}
