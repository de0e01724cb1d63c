/*
 * Configures the distribution of versions from the daemon's settings, and
 * passes each new manifest or host list on to the daemon and to the log.
 */

#include <string.h>

#include "daemon/config.h"
#include "daemon/report.h"
#include "daemon/run.h"
#include "loom/spread_config.h"

struct config {
	struct loom_daemon *daemon; /* borrowed */
	struct loom_spread_config *spread; /* owned */
	struct loom_public_key *trusted_keys; /* owned */
	size_t ntrusted;
	const char **seeds; /* owned array of borrowed strings */
	size_t nseeds;
	struct loom_hosts *logged_hosts; /* as last logged, acquired; or NULL */
};

/*
 * Called by the control thread when a manifest or host list comes into force.
 * An empty list is used as long as there is none.
 */
static void
on_versions_changed(
    void *arg, struct loom_manifest *manifest, struct loom_hosts *hosts)
{
	struct config *config = arg;
	struct loom_hosts *empty_hosts = NULL;
	GArray *empty;

	if (manifest == NULL)
		return;
	if (hosts == NULL) {
		empty = g_array_new(FALSE, FALSE, sizeof(struct loom_host));
		empty_hosts = hosts = loom_hosts_build(empty);
		g_array_free(empty, TRUE);
	}
	daemon_publish(config->daemon, manifest, hosts);
	report_versions(manifest, config->logged_hosts, hosts);
	if (config->logged_hosts != NULL)
		loom_hosts_release(config->logged_hosts);
	config->logged_hosts = loom_hosts_acquire(hosts);
	if (empty_hosts != NULL)
		loom_hosts_release(empty_hosts);
}

static bool
parse_trusted_signers(struct config *config, char *const *texts, GError **error)
{
	size_t n = 0, i;

	while (texts[n] != NULL)
		n++;
	config->trusted_keys =
	    talloc_zero_array(config, struct loom_public_key, n);
	for (i = 0; i < n; i++) {
		if (!loom_public_key_parse(
			texts[i], &config->trusted_keys[i], error))
			return false;
	}
	config->ntrusted = n;
	return true;
}

/* Collects all seeds except this daemon itself. */
static void
collect_seeds(struct config *config)
{
	const struct daemon_settings *settings = &config->daemon->settings;
	char *const *seed;
	size_t n = 0;

	while (settings->seeds[n] != NULL)
		n++;
	config->seeds = talloc_zero_array(config, const char *, n + 1);
	for (seed = settings->seeds; *seed != NULL; seed++) {
		if (strcmp(*seed, config->daemon->self.control) != 0)
			config->seeds[config->nseeds++] = *seed;
	}
}

static int
config_destructor(struct config *config)
{
	TALLOC_FREE(config->spread);
	if (config->logged_hosts != NULL)
		loom_hosts_release(config->logged_hosts);
	return 0;
}

struct config *
config_new(struct loom_daemon *daemon, GError **error)
{
	struct config *config = talloc_zero(NULL, struct config);
	struct loom_spread_config_options options = {
		.control = daemon->control,
		.self = daemon->self,
		.random = loom_random_system,
		.platform_url = daemon->settings.platform,
		.address = daemon->settings.source_address,
		.source = daemon->kind->source,
		.within_us = (uint64_t)(daemon->settings.change_within_s *
		    (double)LOOM_US_PER_S),
		.platform_is_current = daemon->settings.platform_is_current,
		.is_unsigned = daemon->settings.unsigned_documents,
		.publish = on_versions_changed,
		.arg = config,
	};

	config->daemon = daemon;
	talloc_set_destructor(config, config_destructor);
	if (daemon->kind->source_arg != NULL)
		options.source_arg =
		    daemon->kind->source_arg(config, &daemon->settings);
	if (!parse_trusted_signers(
		config, daemon->settings.trusted_signers, error))
		goto error;
	collect_seeds(config);
	options.trusted = config->trusted_keys;
	options.ntrusted = config->ntrusted;
	options.seeds = config->seeds;
	options.nseeds = config->nseeds;
	config->spread = loom_spread_config_new(&options);
	if (config->spread == NULL)
		goto error;
	return config;

error:
	loom_set_error(error, LOOM_START,
	    "distribution of manifest and host lists cannot start");
	talloc_free(config);
	return NULL;
}

bool
config_ready(const struct config *config)
{
	return loom_spread_is_ready(loom_spread_config_spread(config->spread));
}

char *
config_status(struct config *config)
{
	return loom_spread_status(
	    loom_spread_config_spread(config->spread), loom_now_us());
}
