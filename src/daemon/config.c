/*
 * The owner's side of the spread: checking copies, joining them, reading the
 * platform.  All of it runs on the control thread once that is started.
 */

#include <sodium.h>
#include <string.h>

#include "daemon/config.h"
#include "daemon/run.h"
#include "loom/log.h"
#include "loom/platform.h"
#include "loom/sign.h"
#include "loom/spread.h"

static const char *const prefixes[LOOM_SPREAD_KINDS] = {
	[LOOM_SPREAD_MANIFEST] = "manifest/",
	[LOOM_SPREAD_HOSTS] = "hosts/",
};

struct follow {
	struct config *config; /* borrowed */
	enum loom_spread_kind kind;
	struct loom_platform_reader *reader; /* owned */
};

struct config {
	struct loom_daemon *daemon; /* borrowed */
	struct loom_spread *spread; /* owned */
	struct loom_multi *multi; /* owned */
	struct follow follows[LOOM_SPREAD_KINDS];
	struct loom_public_key *trusted; /* owned */
	size_t ntrusted;
	struct loom_manifest *manifest; /* counted; NULL before the first */
	struct loom_hosts *hosts; /* counted; NULL before the first */
	uint64_t generation;
};

static void
log_problems(struct loom_problem *problems)
{
	const struct loom_problem *problem;

	for (problem = problems; problem != NULL; problem = problem->next)
		loom_log(LOOM_LOG_ERROR, "config", problem->code, "%s: %s",
		    problem->where, problem->message);
	loom_problems_free(problems);
}

static bool
check_document(struct config *config, const char *name, const char *text,
    size_t len, struct loom_spread_version *version, void **object,
    GError **error)
{
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	char *payload;
	size_t payload_len;

	if (!loom_envelope_open(text, len, config->trusted, config->ntrusted,
		&payload, &payload_len, version->digest, error))
		return false;
	document = loom_document_parse(payload, payload_len, name, &problems);
	g_free(payload);
	if (document == NULL) {
		loom_fail(error, problems->code, "%s: %s", problems->where,
		    problems->message);
		log_problems(problems);
		return false;
	}
	version->number = loom_document_version(document);
	*object = document;
	return true;
}

static bool
check_hosts(const char *name, const char *text, size_t len,
    struct loom_spread_version *version, void **object, GError **error)
{
	const char *service = name + strlen(prefixes[LOOM_SPREAD_HOSTS]);
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(struct loom_host));

	if (!loom_hosts_parse(service, text, len, hosts, error)) {
		g_array_free(hosts, TRUE);
		return false;
	}
	crypto_hash_sha256(version->digest, (const unsigned char *)text, len);
	*object = hosts;
	return true;
}

static bool
check(void *arg, enum loom_spread_kind kind, const char *name, const char *text,
    size_t len, struct loom_spread_version *version, void **object,
    GError **error)
{
	if (kind == LOOM_SPREAD_MANIFEST)
		return check_document(
		    arg, name, text, len, version, object, error);
	return check_hosts(name, text, len, version, object, error);
}

static void
release(void *arg, enum loom_spread_kind kind, void *object)
{
	(void)arg;
	if (kind == LOOM_SPREAD_MANIFEST)
		loom_document_release(object);
	else
		g_array_free(object, TRUE);
}

static void
publish(struct config *config)
{
	GArray *none;

	if (config->manifest == NULL)
		return;
	if (config->hosts == NULL) {
		none = g_array_new(FALSE, FALSE, sizeof(struct loom_host));
		config->hosts = loom_hosts_build(none);
		g_array_free(none, TRUE);
	}
	daemon_publish(config->daemon, config->manifest, config->hosts);
}

static bool
apply_manifest(struct config *config,
    const struct loom_spread_item *const *items, uint32_t n)
{
	struct loom_document **documents = g_new(struct loom_document *, n);
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	uint32_t i;

	for (i = 0; i < n; i++)
		documents[i] = items[i]->object;
	manifest = loom_manifest_build(
	    documents, n, config->generation + 1, &problems);
	g_free(documents);
	if (manifest == NULL) {
		log_problems(problems);
		return false;
	}
	config->generation++;
	if (config->manifest != NULL)
		loom_manifest_release(config->manifest);
	config->manifest = manifest;
	return true;
}

static bool
apply_hosts(struct config *config, const struct loom_spread_item *const *items,
    uint32_t n)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct loom_host));
	const GArray *part;
	uint32_t i;

	for (i = 0; i < n; i++) {
		part = items[i]->object;
		g_array_append_vals(all, part->data, part->len);
	}
	if (config->hosts != NULL)
		loom_hosts_release(config->hosts);
	config->hosts = loom_hosts_build(all);
	g_array_free(all, TRUE);
	return true;
}

static bool
apply(void *arg, enum loom_spread_kind kind,
    const struct loom_spread_item *const *items, uint32_t n, uint64_t now_us)
{
	bool applied;

	(void)now_us;
	if (kind == LOOM_SPREAD_MANIFEST)
		applied = apply_manifest(arg, items, n);
	else
		applied = apply_hosts(arg, items, n);
	if (applied)
		publish(arg);
	return applied;
}

static void
watch(void *arg, bool on)
{
	struct config *config = arg;
	size_t i;

	for (i = 0; i < LOOM_SPREAD_KINDS; i++)
		loom_platform_watch(config->follows[i].reader, on);
}

static void
fetch(void *arg)
{
	struct config *config = arg;
	size_t i;

	for (i = 0; i < LOOM_SPREAD_KINDS; i++)
		loom_platform_fetch(config->follows[i].reader);
}

static const struct loom_spread_ops spread_ops = {
	.check = check,
	.release = release,
	.apply = apply,
	.watch = watch,
	.fetch = fetch,
};

static void
platform_value(void *arg, const struct loom_platform_value *value)
{
	struct follow *follow = arg;

	loom_spread_platform_value(follow->config->spread, value->name,
	    value->revision, value->text, value->len, loom_now_us());
}

static void
platform_answered(void *arg)
{
	struct follow *follow = arg;

	loom_spread_platform_answered(
	    follow->config->spread, follow->kind, loom_now_us());
}

static void
platform_failed(void *arg, const GError *error)
{
	(void)arg;
	loom_log(LOOM_LOG_WARN, "platform", (enum loom_result)error->code, "%s",
	    error->message);
}

static const struct loom_platform_events platform_events = {
	.value = platform_value,
	.answered = platform_answered,
	.failed = platform_failed,
};

static bool
make_reader(struct config *config, enum loom_spread_kind kind)
{
	const struct loom_platform_options options = {
		.url = config->daemon->settings.platform,
		.prefix = prefixes[kind],
		.random = loom_random_system,
	};
	struct follow *follow = &config->follows[kind];

	follow->config = config;
	follow->kind = kind;
	follow->reader = loom_platform_reader_new(config,
	    loom_control_loop(config->daemon->control), config->multi, &options,
	    &platform_events, follow);
	return follow->reader != NULL;
}

static bool
read_trusted(struct config *config, char *const *texts, GError **error)
{
	size_t n = 0, i;

	while (texts[n] != NULL)
		n++;
	config->trusted = talloc_zero_array(config, struct loom_public_key, n);
	for (i = 0; i < n; i++) {
		if (!loom_public_key_parse(
			texts[i], &config->trusted[i], error))
			return false;
	}
	config->ntrusted = n;
	return true;
}

static bool
make_spread(struct config *config)
{
	struct loom_daemon *daemon = config->daemon;
	char *const *seeds = daemon->settings.seeds;
	struct loom_spread_options options = {
		.self = daemon->self,
		.sender = daemon->sender,
		.random = loom_random_system,
	};
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t id;

	for (; *seeds != NULL; seeds++) {
		if (strcmp(*seeds, daemon->settings.control_listen) == 0)
			continue;
		id = loom_control_seed(daemon->control, *seeds);
		g_array_append_val(ids, id);
	}
	options.seeds = (const uint64_t *)(const void *)ids->data;
	options.nseeds = ids->len;
	config->spread = loom_spread_new(
	    config, &options, &spread_ops, config, loom_now_us());
	g_array_free(ids, TRUE);
	return config->spread != NULL;
}

static int
config_destructor(struct config *config)
{
	size_t i;

	for (i = 0; i < LOOM_SPREAD_KINDS; i++)
		TALLOC_FREE(config->follows[i].reader);
	TALLOC_FREE(config->spread);
	TALLOC_FREE(config->multi);
	if (config->manifest != NULL)
		loom_manifest_release(config->manifest);
	if (config->hosts != NULL)
		loom_hosts_release(config->hosts);
	return 0;
}

struct config *
config_new(struct loom_daemon *daemon, GError **error)
{
	struct config *config = talloc_zero(NULL, struct config);

	config->daemon = daemon;
	talloc_set_destructor(config, config_destructor);
	if (!read_trusted(config, daemon->settings.trusted_signers, error))
		goto error;
	config->multi =
	    loom_multi_new(config, loom_control_loop(daemon->control));
	if (config->multi == NULL || !make_spread(config))
		goto error;
	if (!make_reader(config, LOOM_SPREAD_MANIFEST) ||
	    !make_reader(config, LOOM_SPREAD_HOSTS))
		goto error;
	loom_control_add(daemon->control, &loom_spread_part, config->spread);
	return config;

error:
	loom_fail(error, LOOM_START, "the platform cannot be followed");
	talloc_free(config);
	return NULL;
}

bool
config_ready(const struct config *config)
{
	return loom_spread_is_ready(config->spread);
}

char *
config_status(struct config *config)
{
	return loom_spread_status(config->spread, loom_now_us());
}
