/*
 * Test server that replaces the platform's configuration service.  It stores
 * named values with revisions, which clients read and monitor over HTTP, and a
 * test can switch on faults.  docs/PLATFORM.md describes the protocol.
 *
 * It uses one thread per connection and a single lock for all values; a request
 * that waits for changes sleeps on a condition variable.  This is enough for
 * the few dozen readers of a test.
 */

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_MAX_BYTES 1000000
#define WAIT_MAX_MS 60000
#define SLOW_DEFAULT_MS 2000
#define VALUES_URL "/v1/values"
#define TEST_VALUES_URL "/test/values/"

enum fault {
	FAULT_NONE,
	FAULT_DOWN, /* close the connection of each read without a response */
	FAULT_STALE, /* serve the values as they were when the fault was set */
	FAULT_SLOW, /* delay each response by slow_ms */
	FAULT_CUT, /* close the connection after half of each response body */
	FAULT_OLDER, /* publish each previous value again, as a new revision */
	FAULT_SILENT, /* never respond to a read that arrives during the fault,
			 even once the fault is cleared */
	FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
	[FAULT_NONE] = "none",
	[FAULT_DOWN] = "down",
	[FAULT_STALE] = "stale",
	[FAULT_SLOW] = "slow",
	[FAULT_CUT] = "cut",
	[FAULT_OLDER] = "older",
	[FAULT_SILENT] = "silent",
};

struct value {
	char *text;
	uint64_t revision;
	char *previous; /* NULL until the value is replaced */
};

struct platform {
	GMutex lock; /* protects all fields below */
	GCond changed; /* signals a new value, a new fault or shutdown */
	GHashTable *values; /* name to struct value */
	GHashTable *snapshot; /* served under FAULT_STALE; NULL otherwise */
	uint64_t revision;
	uint64_t snapshot_revision;
	uint64_t calls;
	uint64_t slow_ms;
	enum fault fault;
	bool stopping;
};

/* A request body that is still being received. */
struct upload {
	GString *body;
};

static struct platform platform;

static void
value_free(void *data)
{
	struct value *value = data;

	g_free(value->text);
	g_free(value->previous);
	g_free(value);
}

static GHashTable *
new_value_table(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, value_free);
}

/* Stores a value under a new revision.  The caller holds platform.lock. */
static void
put_value(const char *name, const char *text)
{
	struct value *value = g_hash_table_lookup(platform.values, name);

	if (value == NULL) {
		value = g_new0(struct value, 1);
		g_hash_table_insert(platform.values, g_strdup(name), value);
	}
	g_free(value->previous);
	value->previous = value->text;
	value->text = g_strdup(text);
	value->revision = ++platform.revision;
	g_cond_broadcast(&platform.changed);
}

/* Copies the current values for FAULT_STALE; the caller holds the lock. */
static void
take_snapshot(void)
{
	struct value *value, *copy;
	GHashTableIter iter;
	void *name, *data;

	platform.snapshot = new_value_table();
	platform.snapshot_revision = platform.revision;
	g_hash_table_iter_init(&iter, platform.values);
	while (g_hash_table_iter_next(&iter, &name, &data)) {
		value = data;
		copy = g_new0(struct value, 1);
		copy->text = g_strdup(value->text);
		copy->revision = value->revision;
		g_hash_table_insert(platform.snapshot, g_strdup(name), copy);
	}
}

/* Publishes each replaced value again as a new revision.  The caller holds
 * platform.lock. */
static void
republish_previous_values(void)
{
	struct value *value;
	GHashTableIter iter;
	void *name, *data;
	char *text;

	g_hash_table_iter_init(&iter, platform.values);
	while (g_hash_table_iter_next(&iter, &name, &data)) {
		value = data;
		if (value->previous == NULL)
			continue;
		text = g_strdup(value->previous);
		put_value(name, text);
		g_free(text);
	}
}

/* The caller holds platform.lock. */
static void
set_fault(enum fault fault, uint64_t slow_ms)
{
	if (platform.snapshot != NULL) {
		g_hash_table_destroy(platform.snapshot);
		platform.snapshot = NULL;
	}
	platform.fault = fault;
	platform.slow_ms = slow_ms;
	if (fault == FAULT_STALE)
		take_snapshot();
	if (fault == FAULT_OLDER)
		republish_previous_values();
	g_cond_broadcast(&platform.changed);
}

/* Returns the values that clients currently see, and their revision.  The
 * caller holds platform.lock. */
static GHashTable *
visible_values(uint64_t *revision)
{
	if (platform.snapshot != NULL) {
		*revision = platform.snapshot_revision;
		return platform.snapshot;
	}
	*revision = platform.revision;
	return platform.values;
}

static struct json_object *
value_to_json(const char *name, const struct value *value)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "name", json_object_new_string(name));
	json_object_object_add(object, "revision",
	    json_object_new_int64((int64_t)value->revision));
	json_object_object_add(
	    object, "value", json_object_new_string(value->text));
	return object;
}

/* Returns the values whose names start with prefix and whose revision is
 * greater than after.  The caller holds platform.lock. */
static struct json_object *
changed_values(const char *prefix, uint64_t after, uint64_t *revision)
{
	struct json_object *list = json_object_new_array();
	const struct value *value;
	GHashTableIter iter;
	void *name, *data;

	g_hash_table_iter_init(&iter, visible_values(revision));
	while (g_hash_table_iter_next(&iter, &name, &data)) {
		value = data;
		if (g_str_has_prefix(name, prefix) && value->revision > after)
			json_object_array_add(list, value_to_json(name, value));
	}
	return list;
}

static uint64_t
argument_u64(
    struct MHD_Connection *connection, const char *name, uint64_t fallback)
{
	const char *text = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

/* A response body that is sent only half, although Content-Length announces
 * all of it. */
struct truncated_body {
	size_t len;
	char text[];
};

static ssize_t
read_truncated_body(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct truncated_body *body = arg;
	size_t left;

	if (pos >= body->len / 2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	left = body->len / 2 - pos;
	left = MIN(left, max);
	memcpy(buf, body->text + pos, left);
	return (ssize_t)left;
}

static struct MHD_Response *
truncated_response(const char *text, size_t len)
{
	struct truncated_body *body = g_malloc(sizeof(*body) + len);

	body->len = len;
	memcpy(body->text, text, len);
	return MHD_create_response_from_callback(
	    len, 1024, read_truncated_body, body, g_free);
}

static enum MHD_Result
send_json(struct MHD_Connection *connection, unsigned status,
    struct json_object *object, bool cut)
{
	struct MHD_Response *response;
	enum MHD_Result queued;
	const char *text;
	size_t len;

	text = json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
	len = strlen(text);
	response = cut ? truncated_response(text, len)
		       : MHD_create_response_from_buffer(
			     len, (void *)text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", "application/json");
	queued = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	json_object_put(object);
	return queued;
}

static enum MHD_Result
send_json_string(struct MHD_Connection *connection, unsigned status,
    const char *key, const char *text)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, key, json_object_new_string(text));
	return send_json(connection, status, object, false);
}

/* Waits for slow_ms, or until the fault changes or the server stops.  The
 * caller holds platform.lock. */
static void
delay_response(void)
{
	gint64 end = g_get_monotonic_time() + (gint64)platform.slow_ms * 1000;

	while (platform.fault == FAULT_SLOW && !platform.stopping) {
		if (!g_cond_wait_until(&platform.changed, &platform.lock, end))
			return;
	}
}

/* The caller holds platform.lock. */
static void
wait_until_stopping(void)
{
	while (!platform.stopping)
		g_cond_wait(&platform.changed, &platform.lock);
}

/* Waits until a matching value changes, wait_ms has passed, FAULT_DOWN is set
 * or the server stops.  The caller holds platform.lock. */
static struct json_object *
wait_for_changes(
    const char *prefix, uint64_t after, uint64_t wait_ms, uint64_t *revision)
{
	gint64 end = g_get_monotonic_time() + (gint64)wait_ms * 1000;
	struct json_object *list;

	list = changed_values(prefix, after, revision);
	while (json_object_array_length(list) == 0 &&
	    platform.fault != FAULT_DOWN && !platform.stopping &&
	    g_cond_wait_until(&platform.changed, &platform.lock, end)) {
		json_object_put(list);
		list = changed_values(prefix, after, revision);
	}
	return list;
}

static struct json_object *
value_list_body(struct MHD_Connection *connection)
{
	struct json_object *object = json_object_new_object();
	struct json_object *list;
	const char *prefix;
	uint64_t after, revision, wait_ms;

	prefix = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "prefix");
	after = argument_u64(connection, "after", 0);
	wait_ms = argument_u64(connection, "wait_ms", 0);
	list = wait_for_changes(prefix != NULL ? prefix : "", after,
	    MIN(wait_ms, WAIT_MAX_MS), &revision);
	json_object_object_add(
	    object, "revision", json_object_new_int64((int64_t)revision));
	json_object_object_add(object, "values", list);
	return object;
}

static struct json_object *
single_value_body(const char *name)
{
	const struct value *value;
	uint64_t revision;

	value = g_hash_table_lookup(visible_values(&revision), name);
	return value != NULL ? value_to_json(name, value) : NULL;
}

/* Handles GET requests for the list of values or for a single one. */
static enum MHD_Result
handle_read(struct MHD_Connection *connection, const char *rest)
{
	struct json_object *object = NULL;
	enum fault fault;

	g_mutex_lock(&platform.lock);
	platform.calls++;
	if (platform.fault == FAULT_SLOW)
		delay_response();
	if (platform.fault == FAULT_SILENT)
		wait_until_stopping();
	if (platform.fault != FAULT_DOWN && !platform.stopping)
		object = *rest == '/' ? single_value_body(rest + 1)
				      : value_list_body(connection);
	fault = platform.stopping ? FAULT_DOWN : platform.fault;
	g_mutex_unlock(&platform.lock);
	if (fault == FAULT_DOWN) {
		json_object_put(object);
		return MHD_NO;
	}
	if (object == NULL)
		return send_json_string(
		    connection, MHD_HTTP_NOT_FOUND, "error", "no such value");
	return send_json(connection, MHD_HTTP_OK, object, fault == FAULT_CUT);
}

static enum MHD_Result
handle_call_count(struct MHD_Connection *connection)
{
	struct json_object *object = json_object_new_object();

	g_mutex_lock(&platform.lock);
	json_object_object_add(
	    object, "calls", json_object_new_int64((int64_t)platform.calls));
	g_mutex_unlock(&platform.lock);
	return send_json(connection, MHD_HTTP_OK, object, false);
}

static enum MHD_Result
handle_fault(struct MHD_Connection *connection)
{
	const char *mode = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "mode");
	size_t i;

	for (i = 0; i < FAULT_COUNT; i++) {
		if (g_strcmp0(mode, fault_names[i]) != 0)
			continue;
		g_mutex_lock(&platform.lock);
		set_fault((enum fault)i,
		    argument_u64(connection, "ms", SLOW_DEFAULT_MS));
		g_mutex_unlock(&platform.lock);
		return send_json_string(connection, MHD_HTTP_OK, "fault", mode);
	}
	return send_json_string(
	    connection, MHD_HTTP_BAD_REQUEST, "error", "unknown mode");
}

static enum MHD_Result
handle_put_value(struct MHD_Connection *connection, const char *name,
    const struct upload *upload)
{
	struct json_object *object = json_object_new_object();

	g_mutex_lock(&platform.lock);
	put_value(name, upload->body->str);
	json_object_object_add(object, "revision",
	    json_object_new_int64((int64_t)platform.revision));
	g_mutex_unlock(&platform.lock);
	return send_json(connection, MHD_HTTP_OK, object, false);
}

static enum MHD_Result
dispatch(struct MHD_Connection *connection, const char *url, const char *method,
    const struct upload *upload)
{
	bool get = strcmp(method, MHD_HTTP_METHOD_GET) == 0;
	const char *rest;

	if (get && strcmp(url, "/v1/calls") == 0)
		return handle_call_count(connection);
	if (get && g_str_has_prefix(url, VALUES_URL)) {
		rest = url + strlen(VALUES_URL);
		if (*rest == '\0' || *rest == '/')
			return handle_read(connection, rest);
	}
	if (strcmp(method, MHD_HTTP_METHOD_POST) == 0 &&
	    strcmp(url, "/test/fault") == 0)
		return handle_fault(connection);
	if (strcmp(method, MHD_HTTP_METHOD_PUT) == 0 &&
	    g_str_has_prefix(url, TEST_VALUES_URL))
		return handle_put_value(
		    connection, url + strlen(TEST_VALUES_URL), upload);
	return send_json_string(
	    connection, MHD_HTTP_NOT_FOUND, "error", "no such page");
}

/* libmicrohttpd calls this once for the headers, then for each part of the
 * body, and once more at the end, with *size 0, for the response. */
static enum MHD_Result
on_request(void *arg, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct upload *upload = *state;

	(void)arg;
	(void)version;
	if (upload == NULL) {
		upload = g_new0(struct upload, 1);
		upload->body = g_string_new(NULL);
		*state = upload;
		return MHD_YES;
	}
	if (*size > 0) {
		if (upload->body->len + *size > VALUE_MAX_BYTES)
			return MHD_NO;
		g_string_append_len(upload->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return dispatch(connection, url, method, upload);
}

static void
on_request_completed(void *arg, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct upload *upload = *state;

	(void)arg;
	(void)connection;
	(void)code;
	if (upload == NULL)
		return;
	g_string_free(upload->body, TRUE);
	g_free(upload);
	*state = NULL;
}

/* Loads each file of a directory as a value.  "__" in a file name stands for
 * "/" in the value's name. */
static void
load_directory(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	char **parts, *file, *name, *text;
	const char *entry;

	if (dir == NULL) {
		fprintf(stderr, "platform: cannot open directory %s\n", path);
		exit(EXIT_FAILURE);
	}
	while ((entry = g_dir_read_name(dir)) != NULL) {
		file = g_build_filename(path, entry, NULL);
		parts = g_strsplit(entry, "__", -1);
		name = g_strjoinv("/", parts);
		if (g_file_get_contents(file, &text, NULL, NULL)) {
			put_value(name, text);
			g_free(text);
		}
		g_strfreev(parts);
		g_free(name);
		g_free(file);
	}
	g_dir_close(dir);
}

static void
serve(uint16_t port)
{
	const union MHD_DaemonInfo *info;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct MHD_Daemon *daemon;
	sigset_t signals;
	int signal_number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	daemon = MHD_start_daemon(
	    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
	    port, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
	    MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "platform: cannot listen\n");
		exit(EXIT_FAILURE);
	}
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	printf("listening on %u\n", (unsigned)info->port);
	fflush(stdout);
	sigwait(&signals, &signal_number);
	g_mutex_lock(&platform.lock);
	platform.stopping = true;
	g_cond_broadcast(&platform.changed);
	g_mutex_unlock(&platform.lock);
	MHD_stop_daemon(daemon);
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(
	    NULL, "port", "PORT", "port on 127.0.0.1; 0 for any free one");
	struct arg_str *dir = arg_str0(
	    NULL, "dir", "DIR", "directory of files to load as values");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, dir, end };

	port->ival[0] = 0;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "platform");
		arg_print_syntax(stderr, table, "\n");
		return EXIT_FAILURE;
	}
	platform.values = new_value_table();
	if (dir->count > 0)
		load_directory(dir->sval[0]);
	serve((uint16_t)port->ival[0]);
	g_hash_table_destroy(platform.values);
	if (platform.snapshot != NULL)
		g_hash_table_destroy(platform.snapshot);
	arg_freetable(table, G_N_ELEMENTS(table));
	return EXIT_SUCCESS;
}
