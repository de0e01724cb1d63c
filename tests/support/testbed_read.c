/*
 * Reads the state of a testbed: metrics and status of its daemons, memory and
 * CPU time of processes, the ledgers and request dumps that the upstreams
 * write, and the host that a ticket belongs to.
 */

#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "loom/manifest.h"
#include "loom/ticket.h"
#include "support/testbed.h"

/*
 * A daemon that a test has stopped with SIGSTOP never responds.  The request
 * for a ticket fails after this time rather than after TESTBED_WAIT_MS.
 */
#define TICKET_TIMEOUT_MS 1000

/* The content of a host's file, owned; "" when it can't be read. */
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
count_to_pointer(guint count)
{
	return GUINT_TO_POINTER(count); /* NOLINT(performance-no-int-to-ptr) */
}

/* Counts the lines "EVENT ID ..." of a ledger by ID. */
static void
count_event_lines(GHashTable *counts, const char *text, const char *event)
{
	char **lines = g_strsplit(text, "\n", -1);
	char **line, **words;
	guint count;

	for (line = lines; *line != NULL; line++) {
		words = g_strsplit(*line, " ", 3);
		if (g_strcmp0(words[0], event) == 0 && words[1] != NULL) {
			count = GPOINTER_TO_UINT(
			    g_hash_table_lookup(counts, words[1]));
			g_hash_table_replace(counts, g_strdup(words[1]),
			    count_to_pointer(count + 1));
		}
		g_strfreev(words);
	}
	g_strfreev(lines);
}

GHashTable *
testbed_ledger(
    const struct testbed *testbed, const char *service, const char *event)
{
	GHashTable *counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint32_t i;
	char *text;

	for (i = 0; i < testbed->nhosts; i++) {
		if (service != NULL &&
		    strcmp(testbed->hosts[i].service->name, service) != 0)
			continue;
		text = read_file(testbed, i, "ledger", NULL);
		count_event_lines(counts, text, event);
		g_free(text);
	}
	return counts;
}

uint32_t
testbed_ledger_max(GHashTable *counts)
{
	GHashTableIter iter;
	uint32_t most = 0;
	void *key, *count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &count))
		most = MAX(most, GPOINTER_TO_UINT(count));
	return most;
}

char *
testbed_last_header(
    const struct testbed *testbed, uint32_t host, const char *header)
{
	char *text = read_file(testbed, host, "dump", NULL);
	char *line_start = g_strdup_printf("\n%s: ", header);
	char *found = g_strrstr(text, line_start);
	char *value = NULL;

	if (found != NULL) {
		found += strlen(line_start);
		value = g_strndup(found, strcspn(found, "\n"));
	}
	g_free(line_start);
	g_free(text);
	return value;
}

char *
testbed_ticket(struct testbed *testbed, uint32_t host, const char *key_header,
    const char *route)
{
	static const char response_start[] = "{\"tickets\":[\"";
	const char *headers[] = { key_header, NULL };
	char *path = g_strconcat("/.loom/tickets?route=", route, NULL);
	const struct testbed_request request = {
		.host = host,
		.method = "POST",
		.path = path,
		.headers = headers,
		.body = "",
		.give_up_ms = TICKET_TIMEOUT_MS,
	};
	struct testbed_caller caller;
	struct testbed_reply reply;
	char *ticket = NULL;

	testbed_caller_init(&caller, testbed);
	testbed_caller_call(&caller, &request, &reply);
	testbed_caller_clear(&caller);
	if (reply.status == 200 && g_str_has_prefix(reply.body, response_start))
		ticket = g_strndup(reply.body + strlen(response_start),
		    strcspn(reply.body + strlen(response_start), "\""));
	testbed_reply_clear(&reply);
	g_free(path);
	return ticket;
}

uint32_t
testbed_ticket_executor(const struct testbed *testbed, const char *ticket)
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
	unsigned long user_ticks = 0, system_ticks = 0;
	char *text = NULL, *name_end;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		/* The process name in parentheses may contain spaces. */
		name_end = strrchr(text, ')');
		sscanf(name_end + 2,
		    "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		    &user_ticks, &system_ticks);
	}
	g_free(text);
	g_free(file);
	return (double)(user_ticks + system_ticks) /
	    (double)sysconf(_SC_CLK_TCK);
}

int64_t
testbed_active_version(struct testbed *testbed, uint32_t host, char digest[32])
{
	struct json_object *status, *versions, *entries, *entry, *value;
	struct testbed_reply reply;
	int64_t version = 0;
	size_t i;

	testbed_call(
	    testbed, host, "GET", "/.loom/status", NULL, NULL, 0, &reply);
	status = json_tokener_parse(reply.body);
	if (json_object_object_get_ex(status, "versions", &versions) &&
	    json_object_object_get_ex(versions, "versions", &entries)) {
		for (i = 0; i < json_object_array_length(entries); i++) {
			entry = json_object_array_get_idx(entries, i);
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

bool
testbed_has_exited(void *arg)
{
	pid_t *pid = arg;

	if (waitpid(*pid, NULL, WNOHANG) != *pid)
		return false;
	*pid = 0;
	return true;
}

long
testbed_memory_kb(pid_t pid)
{
	char *file = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL, *field;
	long kb = -1;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		field = strstr(text, "VmRSS:");
		kb = field == NULL ? -1
				   : strtol(field + strlen("VmRSS:"), NULL, 10);
	}
	g_free(text);
	g_free(file);
	return kb;
}

uint32_t
testbed_first_host(const struct testbed *testbed, const char *service)
{
	uint32_t i;

	for (i = 0; i < testbed->nhosts; i++) {
		if (strcmp(testbed->hosts[i].service->name, service) == 0)
			return i;
	}
	return 0;
}

static uint32_t
count_lines_with_prefix(const char *text, const char *prefix)
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
		n += count_lines_with_prefix(text, prefix);
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
	const char *match;

	testbed_call(
	    testbed, host, "GET", "/.loom/metrics", NULL, NULL, 0, &reply);
	match = reply.body;
	/* The series must begin a line and be followed by its value. */
	while ((match = strstr(match, series)) != NULL) {
		if ((match == reply.body || match[-1] == '\n') &&
		    match[strlen(series)] == ' ') {
			value = g_ascii_strtod(match + strlen(series), NULL);
			break;
		}
		match += strlen(series);
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
