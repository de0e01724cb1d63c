/*
 * What a fleet shows and left behind: counters and memory, sums over ledgers,
 * headers from the upstreams' dumps, and the executors of tickets.
 */

#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loom/manifest.h"
#include "loom/ticket.h"
#include "support/testbed.h"

/* A paused daemon does not answer. */
#define TICKET_GIVE_UP_MS 1000

static char *
read_file(const struct testbed *testbed, uint32_t host, const char *suffix,
    gsize *len)
{
	char *file = testbed_file(testbed, host, suffix);
	char *text = NULL;

	if (!g_file_get_contents(file, &text, len, NULL))
		text = g_strdup("");
	g_free(file);
	return text;
}

static void *
as_pointer(guint n)
{
	return GUINT_TO_POINTER(n); /* NOLINT(performance-no-int-to-ptr) */
}

static void
add_lines(GHashTable *table, const char *text, const char *event)
{
	char **lines = g_strsplit(text, "\n", -1);
	char **line, **words;
	guint n;

	for (line = lines; *line != NULL; line++) {
		words = g_strsplit(*line, " ", 3);
		if (g_strcmp0(words[0], event) == 0 && words[1] != NULL) {
			n = GPOINTER_TO_UINT(
			    g_hash_table_lookup(table, words[1]));
			g_hash_table_replace(
			    table, g_strdup(words[1]), as_pointer(n + 1));
		}
		g_strfreev(words);
	}
	g_strfreev(lines);
}

GHashTable *
testbed_ledger(
    const struct testbed *testbed, const char *service, const char *event)
{
	GHashTable *table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;
	char *text;

	for (i = 0; i < testbed->nhosts; i++) {
		if (service != NULL &&
		    strcmp(testbed->hosts[i].service->name, service) != 0)
			continue;
		text = read_file(testbed, i, "ledger", NULL);
		add_lines(table, text, event);
		g_free(text);
	}
	return table;
}

uint32_t
testbed_ledger_most(GHashTable *table)
{
	GHashTableIter iter;
	uint32_t most = 0;
	void *key, *count;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &count))
		most = MAX(most, GPOINTER_TO_UINT(count));
	return most;
}

char *
testbed_dump_last(
    const struct testbed *testbed, uint32_t host, const char *header)
{
	char *text = read_file(testbed, host, "dump", NULL);
	char *start = g_strdup_printf("\n%s: ", header);
	char *at = g_strrstr(text, start);
	char *value = NULL;

	if (at != NULL) {
		at += strlen(start);
		value = g_strndup(at, strcspn(at, "\n"));
	}
	g_free(start);
	g_free(text);
	return value;
}

char *
testbed_ticket(struct testbed *testbed, uint32_t host, const char *key_header,
    const char *route)
{
	static const char start[] = "{\"tickets\":[\"";
	const char *headers[] = { key_header, NULL };
	char *path = g_strconcat("/.loom/tickets?route=", route, NULL);
	const struct testbed_request asked = {
		.host = host,
		.method = "POST",
		.path = path,
		.headers = headers,
		.body = "",
		.give_up_ms = TICKET_GIVE_UP_MS,
	};
	struct testbed_caller caller;
	struct testbed_reply reply;
	char *ticket = NULL;

	testbed_caller_init(&caller, testbed);
	testbed_caller_call(&caller, &asked, &reply);
	testbed_caller_clear(&caller);
	if (reply.status == 200 && g_str_has_prefix(reply.body, start))
		ticket = g_strndup(reply.body + strlen(start),
		    strcspn(reply.body + strlen(start), "\""));
	testbed_reply_clear(&reply);
	g_free(path);
	return ticket;
}

uint32_t
testbed_ticket_host(const struct testbed *testbed, const char *ticket)
{
	struct loom_ticket parsed;
	uint32_t i;

	if (loom_ticket_parse(ticket, strlen(ticket), &parsed) != LOOM_OK)
		return testbed->nhosts;
	for (i = 0; i < testbed->nhosts; i++) {
		if (loom_name_id(testbed->hosts[i].name) == parsed.host_id)
			break;
	}
	return i;
}

double
testbed_cpu_s(pid_t pid)
{
	char *file = g_strdup_printf("/proc/%d/stat", (int)pid);
	unsigned long user = 0, system = 0;
	char *text = NULL, *at;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		at = strrchr(text, ')');
		sscanf(at + 2,
		    "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		    &user, &system);
	}
	g_free(text);
	g_free(file);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

int64_t
testbed_in_force(struct testbed *testbed, uint32_t host, char digest[32])
{
	struct json_object *status, *versions, *list, *entry, *value;
	struct testbed_reply reply;
	int64_t version = 0;
	size_t i;

	testbed_call(
	    testbed, host, "GET", "/.loom/status", NULL, NULL, 0, &reply);
	status = json_tokener_parse(reply.body);
	if (json_object_object_get_ex(status, "versions", &versions) &&
	    json_object_object_get_ex(versions, "versions", &list)) {
		for (i = 0; i < json_object_array_length(list); i++) {
			entry = json_object_array_get_idx(list, i);
			json_object_object_get_ex(entry, "name", &value);
			if (strcmp(json_object_get_string(value),
				"manifest/test") != 0)
				continue;
			json_object_object_get_ex(entry, "version", &value);
			version = json_object_get_int64(value);
			json_object_object_get_ex(entry, "digest", &value);
			g_strlcpy(digest, json_object_get_string(value), 32);
		}
	}
	json_object_put(status);
	testbed_reply_clear(&reply);
	return version;
}

long
testbed_memory_kb(pid_t pid)
{
	char *file = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL, *at;
	long kb = -1;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		at = strstr(text, "VmRSS:");
		kb = at == NULL ? -1 : strtol(at + strlen("VmRSS:"), NULL, 10);
	}
	g_free(text);
	g_free(file);
	return kb;
}

uint32_t
testbed_host_of(const struct testbed *testbed, const char *service)
{
	uint32_t i;

	for (i = 0; i < testbed->nhosts; i++) {
		if (strcmp(testbed->hosts[i].service->name, service) == 0)
			return i;
	}
	return 0;
}

static uint32_t
count_lines(const char *text, const char *prefix)
{
	char **lines = g_strsplit(text, "\n", -1);
	uint32_t n = 0;
	char **line;

	for (line = lines; *line != NULL; line++)
		n += g_str_has_prefix(*line, prefix);
	g_strfreev(lines);
	return n;
}

uint32_t
testbed_ledger_count(const struct testbed *testbed, const char *service,
    const char *event, const char *id)
{
	char *prefix = id != NULL ? g_strdup_printf("%s %s ", event, id)
				  : g_strdup_printf("%s ", event);
	uint32_t i, n = 0;
	char *text;

	for (i = 0; i < testbed->nhosts; i++) {
		if (strcmp(testbed->hosts[i].service->name, service) != 0)
			continue;
		text = read_file(testbed, i, "ledger", NULL);
		n += count_lines(text, prefix);
		g_free(text);
	}
	g_free(prefix);
	return n;
}

bool
testbed_dump_contains(const struct testbed *testbed, const char *text)
{
	bool found = false;
	gsize len = 0;
	char *dump;
	uint32_t i;

	for (i = 0; i < testbed->nhosts && !found; i++) {
		dump = read_file(testbed, i, "dump", &len);
		found = memmem(dump, len, text, strlen(text)) != NULL;
		g_free(dump);
	}
	return found;
}

double
testbed_metric(struct testbed *testbed, uint32_t host, const char *series)
{
	struct testbed_reply reply;
	double value = -1;
	const char *at;

	testbed_call(
	    testbed, host, "GET", "/.loom/metrics", NULL, NULL, 0, &reply);
	at = reply.body;
	while ((at = strstr(at, series)) != NULL) {
		if ((at == reply.body || at[-1] == '\n') &&
		    at[strlen(series)] == ' ') {
			value = g_ascii_strtod(at + strlen(series), NULL);
			break;
		}
		at += strlen(series);
	}
	testbed_reply_clear(&reply);
	return value;
}

const char *
testbed_key_digest(const char *key)
{
	static char hex[2 * LOOM_DIGEST_SIZE + 1];
	uint8_t digest[LOOM_DIGEST_SIZE];

	loom_key_digest(key, strlen(key), digest);
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	return hex;
}
