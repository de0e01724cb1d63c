/*
 * The manifest and the host lists straight from the platform: each daemon
 * watches for itself.
 */

#include <string.h>

#include "daemon/config.h"
#include "daemon/run.h"
#include "loom/log.h"
#include "loom/platform.h"
#include "loom/sign.h"

static const char manifest_prefix[] = "manifest/";
static const char hosts_prefix[] = "hosts/";

struct config {
	struct loom_daemon *daemon; /* borrowed */
	struct loom_multi *multi;
	struct loom_platform_reader *documents_reader;
	struct loom_platform_reader *hosts_reader;
	struct loom_public_key *trusted; /* owned */
	size_t ntrusted;
	GHashTable *documents; /* name to struct loom_document */
	GHashTable *hosts; /* service to GArray of struct loom_host */
	uint64_t generation;
	bool changed;
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

static void
take_document(void *arg, const struct loom_platform_value *value)
{
	struct config *config = arg;
	struct loom_problem *problems = NULL;
	struct loom_document *document, *old;
	uint8_t digest[LOOM_DIGEST_SIZE];
	GError *error = NULL;
	char *payload;
	size_t len;

	if (!loom_envelope_open(value->text, value->len, config->trusted,
		config->ntrusted, &payload, &len, digest, &error)) {
		loom_log(LOOM_LOG_ERROR, "config",
		    (enum loom_result)error->code, "%s: %s", value->name,
		    error->message);
		g_error_free(error);
		return;
	}
	document = loom_document_parse(payload, len, value->name, &problems);
	g_free(payload);
	if (document == NULL) {
		log_problems(problems);
		return;
	}
	old = g_hash_table_lookup(
	    config->documents, loom_document_name(document));
	if (old != NULL &&
	    loom_document_version(old) >= loom_document_version(document)) {
		loom_document_release(document);
		return;
	}
	g_hash_table_replace(config->documents,
	    g_strdup(loom_document_name(document)), document);
	config->changed = true;
}

static void
take_hosts(void *arg, const struct loom_platform_value *value)
{
	struct config *config = arg;
	const char *service = value->name + strlen(hosts_prefix);
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(struct loom_host));
	GError *error = NULL;

	if (!loom_hosts_parse(
		service, value->text, value->len, hosts, &error)) {
		loom_log(LOOM_LOG_ERROR, "config",
		    (enum loom_result)error->code, "%s", error->message);
		g_error_free(error);
		g_array_free(hosts, TRUE);
		return;
	}
	g_hash_table_replace(config->hosts, g_strdup(service), hosts);
	config->changed = true;
}

static struct loom_hosts *
join_hosts(const struct config *config)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct loom_host));
	struct loom_hosts *hosts;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, config->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GArray *part = value;

		g_array_append_vals(all, part->data, part->len);
	}
	hosts = loom_hosts_build(all);
	g_array_free(all, TRUE);
	return hosts;
}

static struct loom_manifest *
join_documents(const struct config *config)
{
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest;
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer document;

	g_hash_table_iter_init(&iter, config->documents);
	while (g_hash_table_iter_next(&iter, NULL, &document))
		g_ptr_array_add(list, document);
	manifest =
	    loom_manifest_build((struct loom_document *const *)list->pdata,
		list->len, config->generation, &problems);
	g_ptr_array_free(list, TRUE);
	if (manifest == NULL)
		log_problems(problems);
	return manifest;
}

static void
answered(void *arg)
{
	struct config *config = arg;
	struct loom_manifest *manifest;
	struct loom_hosts *hosts;

	if (!config->changed || g_hash_table_size(config->documents) == 0)
		return;
	config->changed = false;
	config->generation++;
	manifest = join_documents(config);
	if (manifest == NULL)
		return;
	hosts = join_hosts(config);
	daemon_publish(config->daemon, manifest, hosts);
	loom_manifest_release(manifest);
	loom_hosts_release(hosts);
}

static void
failed(void *arg, const GError *error)
{
	(void)arg;
	loom_log(LOOM_LOG_WARN, "config", (enum loom_result)error->code, "%s",
	    error->message);
}

static const struct loom_platform_events document_events = {
	.value = take_document,
	.answered = answered,
	.failed = failed,
};

static const struct loom_platform_events hosts_events = {
	.value = take_hosts,
	.answered = answered,
	.failed = failed,
};

static bool
read_trusted(struct config *config, char *const *texts, GError **error)
{
	size_t n = g_strv_length((gchar **)texts);
	size_t i;

	config->trusted = talloc_zero_array(config, struct loom_public_key, n);
	for (i = 0; i < n; i++) {
		if (!loom_public_key_parse(
			texts[i], &config->trusted[i], error))
			return false;
	}
	config->ntrusted = n;
	return true;
}

static void
free_document(gpointer document)
{
	loom_document_release(document);
}

static void
free_hosts(gpointer hosts)
{
	g_array_free(hosts, TRUE);
}

static int
config_destructor(struct config *config)
{
	TALLOC_FREE(config->documents_reader);
	TALLOC_FREE(config->hosts_reader);
	TALLOC_FREE(config->multi);
	g_hash_table_destroy(config->documents);
	g_hash_table_destroy(config->hosts);
	return 0;
}

static struct loom_platform_reader *
follow(struct config *config, const char *prefix,
    const struct loom_platform_events *events)
{
	const struct loom_platform_options options = {
		.url = config->daemon->settings.platform,
		.prefix = prefix,
		.random = loom_random_system,
	};
	struct loom_platform_reader *reader;

	reader = loom_platform_reader_new(config, config->daemon->ev,
	    config->multi, &options, events, config);
	if (reader != NULL)
		loom_platform_watch(reader, true);
	return reader;
}

struct config *
config_start(struct loom_daemon *daemon, GError **error)
{
	struct config *config = talloc_zero(daemon, struct config);

	config->daemon = daemon;
	config->documents = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_document);
	config->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_hosts);
	talloc_set_destructor(config, config_destructor);
	if (!read_trusted(config, daemon->settings.trusted_signers, error))
		goto error;
	config->multi = loom_multi_new(config, daemon->ev);
	if (config->multi == NULL)
		goto error;
	config->documents_reader =
	    follow(config, manifest_prefix, &document_events);
	config->hosts_reader = follow(config, hosts_prefix, &hosts_events);
	if (config->documents_reader == NULL || config->hosts_reader == NULL)
		goto error;
	return config;

error:
	loom_fail(error, LOOM_START, "the platform cannot be followed");
	talloc_free(config);
	return NULL;
}
