/*
 * Keeps admission informed whether the own upstream is cold.
 *
 * The bound on the calls to a cold upstream holds for all daemons together, and
 * is kept here because all calls to an upstream pass the daemon beside it.
 */

#include <string.h>

#include "daemon/call.h"
#include "daemon/cold.h"
#include "decide/cold_watch.h"
#include "loom/log.h"

#define PROBE_TIMEOUT_US (500 * LOOM_US_PER_MS)
#define PROBE_BODY_MAX_BYTES (64 * 1024)

struct cold {
	struct loom_daemon *daemon; /* borrowed */
	atomic_bool enabled; /* the service has a bound */
	GMutex lock; /* guards all below */
	struct cold_watch watch;
	uint32_t starts_max; /* in a second while cold; 0: no bound */
	bool logged_cold; /* as last logged */
	char health_path[LOOM_NAME_MAX + 1];
	bool probing;
};

static int
cold_destructor(struct cold *cold)
{
	g_mutex_clear(&cold->lock);
	return 0;
}

struct cold *
cold_new(struct loom_daemon *daemon)
{
	struct cold *cold = talloc_zero(daemon, struct cold);

	if (cold == NULL)
		return NULL;
	cold->daemon = daemon;
	g_mutex_init(&cold->lock);
	cold_watch_init(&cold->watch, loom_now_us());
	talloc_set_destructor(cold, cold_destructor);
	return cold;
}

/* Logs when the upstream becomes cold or warm. The lock is held. */
static void
log_change(struct cold *cold, uint64_t now_us)
{
	const uint64_t until_us = cold->watch.cold_until_us;
	const bool is_cold = until_us > now_us;

	if (is_cold == cold->logged_cold)
		return;
	cold->logged_cold = is_cold;
	if (is_cold)
		loom_log(LOOM_LOG_INFO, "cold", LOOM_OK,
		    "the upstream is cold: %u calls a second for "
		    "%" G_GUINT64_FORMAT " ms%s",
		    cold->starts_max,
		    (guint64)((until_us - now_us) / LOOM_US_PER_MS),
		    cold->watch.unconfirmed ? " at most" : "");
	else
		loom_log(
		    LOOM_LOG_INFO, "cold", LOOM_OK, "the upstream is warm");
}

/* Passes a change on to admission. The lock is held. */
static void
pass_on(struct cold *cold, uint64_t now_us)
{
	loom_admission_set_cold(cold->daemon->admission, cold->starts_max,
	    cold->watch.cold_until_us, now_us);
	log_change(cold, now_us);
}

/* At least one call, so that the upstream warms up. */
uint32_t
cold_starts_max(
    const struct loom_daemon *daemon, const struct loom_service *service)
{
	const struct daemon_settings *settings = &daemon->settings;

	if (service->cold_per_s <= 0 || service->cold_start_ms == 0)
		return 0;
	return (uint32_t)MAX(1.0,
	    service->cold_per_s * settings->cold_overage +
		settings->cold_slack);
}

void
cold_publish(struct cold *cold, const struct loom_manifest *manifest,
    const struct loom_hosts *hosts)
{
	const struct loom_daemon *daemon = cold->daemon;
	const struct loom_service *service =
	    loom_manifest_service(manifest, daemon->self.service);
	const struct loom_host *host =
	    loom_hosts_find(hosts, daemon->self.host_id);
	const uint64_t now_us = loom_now_us();

	if (service == NULL)
		return;
	g_mutex_lock(&cold->lock);
	cold->starts_max = cold_starts_max(daemon, service);
	atomic_store(&cold->enabled, cold->starts_max > 0);
	g_strlcpy(
	    cold->health_path, service->health_path, sizeof(cold->health_path));
	cold_watch_set_duration(&cold->watch,
	    cold->starts_max > 0 ? service->cold_start_ms * LOOM_US_PER_MS : 0,
	    now_us);
	cold_watch_list(&cold->watch, host, now_us);
	pass_on(cold, now_us);
	g_mutex_unlock(&cold->lock);
}

void
cold_note_leg(struct cold *cold, bool complete)
{
	const uint64_t now_us = loom_now_us();
	uint64_t before_us;

	if (!atomic_load(&cold->enabled))
		return;
	g_mutex_lock(&cold->lock);
	before_us = cold->watch.cold_until_us;
	cold_watch_leg(&cold->watch, complete, now_us);
	if (cold->watch.cold_until_us != before_us)
		pass_on(cold, now_us);
	g_mutex_unlock(&cold->lock);
}

void
cold_note_down(struct cold *cold)
{
	const uint64_t now_us = loom_now_us();

	if (!atomic_load(&cold->enabled))
		return;
	g_mutex_lock(&cold->lock);
	cold_watch_down(&cold->watch, now_us);
	pass_on(cold, now_us);
	g_mutex_unlock(&cold->lock);
}

static void
on_health_headers(void *arg, struct loom_fetch *fetch)
{
	struct cold *cold = arg;
	const uint64_t now_us = loom_now_us();
	uint64_t remaining_us;

	if (!cold->daemon->dialect->health_cold(fetch, &remaining_us))
		return;
	g_mutex_lock(&cold->lock);
	cold_watch_health(&cold->watch, remaining_us, now_us);
	pass_on(cold, now_us);
	g_mutex_unlock(&cold->lock);
}

static void
end_probe(struct cold *cold)
{
	g_mutex_lock(&cold->lock);
	cold->probing = false;
	g_mutex_unlock(&cold->lock);
}

static void
on_health_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct cold *cold = arg;

	if (end->result != LOOM_FETCH_COMPLETE)
		loom_log(LOOM_LOG_DEBUG, "cold", LOOM_OK,
		    "no health response: %s", end->reason);
	end_probe(cold);
}

static const struct loom_fetch_ops health_ops = {
	.headers = on_health_headers,
	.done = on_health_done,
};

/* Runs on a worker. */
static void
start_probe(void *arg)
{
	struct cold *cold = arg;
	struct loom_daemon *daemon = cold->daemon;
	const struct loom_fetch_request request = {
		.method = "GET",
		.address = daemon->settings.upstream,
		.target = cold->health_path,
		.timeout_us = PROBE_TIMEOUT_US,
		.body_max_bytes = PROBE_BODY_MAX_BYTES,
		.idle_max_ms = daemon->settings.upstream_idle_ms,
		.ops = &health_ops,
		.arg = cold,
	};

	if (!own_upstream_accepts(
		&daemon->workers[0]->own_upstream, loom_now_us()) ||
	    loom_fetch_start(daemon->workers[0]->fetcher, &request) == NULL)
		end_probe(cold);
}

void
cold_tick(struct cold *cold)
{
	const uint64_t now_us = loom_now_us();
	bool start;

	if (!atomic_load(&cold->enabled))
		return;
	loom_gauge_set(cold->daemon->counters.start_bound,
	    loom_admission_start_bound(cold->daemon->admission, now_us));
	g_mutex_lock(&cold->lock);
	log_change(cold, now_us);
	start = !cold->probing && cold->health_path[0] != '\0' &&
	    cold_watch_probe_due(&cold->watch, now_us);
	if (start)
		cold->probing = true;
	g_mutex_unlock(&cold->lock);
	if (start)
		loom_mailbox_post(
		    cold->daemon->workers[0]->mailbox, start_probe, cold);
}
