/*
 * Owner of the gossip protocol in a daemon: verifies signatures, parses
 * documents, builds the manifest and the hosts, and reads the platform.
 *
 * The signed text of a document contains its name, which must be the one that
 * it is stored under.  Otherwise whoever can write to the platform could store
 * a signed document of one team under the name of another.
 */

#include <sodium.h>
#include <string.h>

#include "loom/log.h"
#include "loom/platform.h"
#include "loom/spread_config.h"

static const char *const prefixes[LOOM_SPREAD_KINDS] = {
	[LOOM_SPREAD_MANIFEST] = "manifest/",
	[LOOM_SPREAD_HOSTS] = "hosts/",
};

/* Reads the values of the kinds from first_kind to before end_kind. */
struct prefix_reader {
	struct loom_spread_config *config; /* borrowed */
	unsigned first_kind;
	unsigned end_kind;
	struct loom_platform_reader *reader; /* owned */
};

struct loom_spread_config {
	struct loom_control *control; /* borrowed */
	struct loom_spread *spread; /* owned */
	struct loom_multi *multi; /* owned */
	struct prefix_reader readers[LOOM_SPREAD_KINDS];
	unsigned nreaders;
	struct loom_public_key *trusted; /* owned */
	size_t ntrusted;
	bool is_unsigned;
	struct loom_manifest *manifest; /* in effect, acquired, or NULL */
	struct loom_hosts *hosts; /* in effect, acquired, or NULL */
	uint64_t generation;
	loom_spread_publish publish;
	void *arg; /* borrowed */
};

static bool
reject_document(const char *name, struct loom_problem *problems, GError **error)
{
	char *text = loom_problems_text(problems);

	loom_problems_free(problems);
	loom_set_error(error, LOOM_MANIFEST_SYNTAX, "%s: %s", name, text);
	g_free(text);
	return false;
}

static bool
check_document(const struct loom_spread_config *config, const char *name,
    const char *text, size_t len, struct loom_spread_version *version,
    void **object, GError **error)
{
	const char *own_name = name + strlen(prefixes[LOOM_SPREAD_MANIFEST]);
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	size_t payload_len;
	char *payload;

	if (config->is_unsigned) {
		payload = g_strndup(text, len);
		payload_len = len;
		crypto_hash_sha256(
		    version->digest, (const unsigned char *)text, len);
	} else if (!loom_envelope_verify(text, len, config->trusted,
		       config->ntrusted, &payload, &payload_len,
		       version->digest, error)) {
		return false;
	}
	document = config->is_unsigned
	    ? loom_document_parse_unsigned(
		  payload, payload_len, name, &problems)
	    : loom_document_parse(payload, payload_len, name, &problems);
	g_free(payload);
	if (document == NULL)
		return reject_document(name, problems, error);
	if (strcmp(loom_document_name(document), own_name) != 0) {
		loom_set_error(error, LOOM_MANIFEST_SIGNATURE,
		    "the document stored as %s is named %s", name,
		    loom_document_name(document));
		loom_document_release(document);
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
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct loom_host));

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

static bool
apply_manifest(struct loom_spread_config *config,
    const struct loom_spread_item *const *items, uint32_t n)
{
	struct loom_document **documents =
	    g_new(struct loom_document *, MAX(n, 1));
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	char *text;
	uint32_t i;

	for (i = 0; i < n; i++)
		documents[i] = items[i]->object;
	manifest = loom_manifest_build(
	    documents, n, config->generation + 1, &problems);
	g_free(documents);
	if (manifest == NULL) {
		text = loom_problems_text(problems);
		loom_problems_free(problems);
		loom_log(LOOM_LOG_ERROR, "spread", LOOM_SPREAD_SET_REFUSED,
		    "%s", text);
		g_free(text);
		return false;
	}
	config->generation++;
	if (config->manifest != NULL)
		loom_manifest_release(config->manifest);
	config->manifest = manifest;
	loom_control_set_manifest(config->control, manifest);
	return true;
}

static bool
apply_hosts(struct loom_spread_config *config,
    const struct loom_spread_item *const *items, uint32_t n)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	const GArray *service_hosts;
	uint32_t i;

	for (i = 0; i < n; i++) {
		service_hosts = items[i]->object;
		g_array_append_vals(
		    all, service_hosts->data, service_hosts->len);
	}
	if (config->hosts != NULL)
		loom_hosts_release(config->hosts);
	config->hosts = loom_hosts_build(all);
	g_array_free(all, TRUE);
	loom_control_set_hosts(config->control, config->hosts);
	return true;
}

static bool
apply(void *arg, enum loom_spread_kind kind,
    const struct loom_spread_item *const *items, uint32_t n, uint64_t now_us)
{
	struct loom_spread_config *config = arg;
	bool applied;

	(void)now_us;
	applied = kind == LOOM_SPREAD_MANIFEST
	    ? apply_manifest(config, items, n)
	    : apply_hosts(config, items, n);
	if (applied)
		config->publish(config->arg, config->manifest, config->hosts);
	return applied;
}

static void
watch(void *arg, bool on)
{
	struct loom_spread_config *config = arg;
	unsigned i;

	for (i = 0; i < config->nreaders; i++)
		loom_platform_reader_set_watching(
		    config->readers[i].reader, on);
}

static void
fetch(void *arg)
{
	struct loom_spread_config *config = arg;
	unsigned i;

	for (i = 0; i < config->nreaders; i++)
		loom_platform_reader_fetch(config->readers[i].reader);
}

static const struct loom_spread_ops spread_ops = {
	.check = check,
	.release = release,
	.apply = apply,
	.watch = watch,
	.fetch = fetch,
};

static void
on_value(void *arg, const struct loom_platform_value *value)
{
	const struct prefix_reader *reader = arg;

	loom_spread_platform_value(reader->config->spread, value->name,
	    value->revision, value->text, value->len, loom_now_us());
}

static void
on_answered(void *arg, uint64_t sent_us)
{
	const struct prefix_reader *reader = arg;
	unsigned kind;

	for (kind = reader->first_kind; kind < reader->end_kind; kind++)
		loom_spread_platform_answered(reader->config->spread,
		    (enum loom_spread_kind)kind, sent_us, loom_now_us());
}

static const struct loom_platform_events reader_events = {
	.on_value = on_value,
	.on_reading_complete = on_answered,
};

static bool
create_readers(struct loom_spread_config *config,
    const struct loom_spread_config_options *options)
{
	struct tevent_context *ev = loom_control_loop(options->control);
	const struct loom_age_timing timing =
	    loom_spread_timing(options->within_us);
	struct loom_platform_options platform = {
		.source = options->source,
		.source_arg = options->source_arg,
		.url = options->platform_url,
		.address = options->address,
		.random = options->random,
		.pace = { .wait_ms =
			      (uint32_t)(timing.watch_us / LOOM_US_PER_MS),
		    .answer_timeout_ms =
			(uint32_t)(timing.answer_us / LOOM_US_PER_MS) },
	};
	bool reads_all = options->source != NULL && options->source->reads_all;
	const unsigned nreaders = reads_all ? 1 : LOOM_SPREAD_KINDS;
	struct prefix_reader *reader;
	unsigned i;

	config->multi = loom_multi_new(config, ev);
	if (config->multi == NULL)
		return false;
	config->nreaders = nreaders;
	for (i = 0; i < nreaders; i++) {
		reader = &config->readers[i];
		reader->config = config;
		reader->first_kind = i;
		reader->end_kind = reads_all ? LOOM_SPREAD_KINDS : i + 1;
		platform.prefix = reads_all ? "" : prefixes[i];
		reader->reader = loom_platform_reader_new(config, ev,
		    config->multi, &platform, &reader_events, reader);
		if (reader->reader == NULL)
			return false;
	}
	return true;
}

static bool
create_spread(struct loom_spread_config *config,
    const struct loom_spread_config_options *options)
{
	struct loom_spread_options spread = {
		.self = options->self,
		.sender = loom_control_sender(options->control),
		.random = options->random,
		.nseeds = (uint32_t)options->nseeds,
		.within_us = options->within_us,
		.platform_is_current = options->platform_is_current,
	};
	uint64_t *seeds = g_new(uint64_t, MAX(options->nseeds, 1));
	size_t i;

	for (i = 0; i < options->nseeds; i++)
		seeds[i] =
		    loom_control_add_seed(options->control, options->seeds[i]);
	spread.seeds = seeds;
	config->spread = loom_spread_new(
	    config, &spread, &spread_ops, config, loom_now_us());
	g_free(seeds);
	return config->spread != NULL;
}

static int
config_destroy(struct loom_spread_config *config)
{
	unsigned i;

	for (i = 0; i < LOOM_SPREAD_KINDS; i++)
		TALLOC_FREE(config->readers[i].reader);
	TALLOC_FREE(config->multi);
	TALLOC_FREE(config->spread);
	if (config->manifest != NULL)
		loom_manifest_release(config->manifest);
	if (config->hosts != NULL)
		loom_hosts_release(config->hosts);
	return 0;
}

struct loom_spread_config *
loom_spread_config_new(const struct loom_spread_config_options *options)
{
	struct loom_spread_config *config;

	config = talloc_zero(NULL, struct loom_spread_config);
	if (config == NULL)
		return NULL;
	config->control = options->control;
	config->publish = options->publish;
	config->arg = options->arg;
	config->ntrusted = options->ntrusted;
	config->is_unsigned = options->is_unsigned;
	config->trusted = talloc_memdup(config, options->trusted,
	    options->ntrusted * sizeof(*options->trusted));
	talloc_set_destructor(config, config_destroy);
	if (!create_spread(config, options) ||
	    !create_readers(config, options)) {
		talloc_free(config);
		return NULL;
	}
	loom_control_add(options->control, &loom_spread_part, config->spread);
	return config;
}

struct loom_spread *
loom_spread_config_spread(struct loom_spread_config *config)
{
	return config->spread;
}
