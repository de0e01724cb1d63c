/*
 * Parses the platform's lists of hosts, one JSON array per service, and merges
 * them into one sorted, immutable array that all threads read.
 */

#include <string.h>

#include "loom/fields.h"
#include "loom/hosts.h"
#include "loom/settings.h"
#include "manifest/internal.h"

#define SLOTS_MAX 1e6
#define COLD_START_MAX_MS 3600e3

struct host_list {
	GArray *hosts; /* of struct loom_host */
};

static const struct loom_field_codes codes = {
	.unknown = LOOM_HOSTS_MALFORMED,
	.type = LOOM_HOSTS_MALFORMED,
	.range = LOOM_HOSTS_MALFORMED,
	.missing = LOOM_HOSTS_MALFORMED,
};

static const char *const state_names[] = {
	[LOOM_HOST_LIVE] = "live",
	[LOOM_HOST_LEAVING] = "leaving",
	NULL,
};

#define TEXT_FIELD(label, member, check_function, wanted)                   \
	{                                                                   \
		.name = (label), .type = LOOM_FIELD_TEXT, .required = true, \
		.offset = offsetof(struct loom_host, member),               \
		.size = sizeof(((struct loom_host *)NULL)->member),         \
		.check = (check_function), .expects = (wanted),             \
	}

static const struct loom_field host_fields[] = {
	TEXT_FIELD("name", name, manifest_check_name, MANIFEST_NAME_EXPECTS),
	TEXT_FIELD("data_centre", data_centre, manifest_check_name,
	    MANIFEST_NAME_EXPECTS),
	TEXT_FIELD(
	    "region", region, manifest_check_name, MANIFEST_NAME_EXPECTS),
	TEXT_FIELD("peer", peer, loom_setting_check_address, "ip:port"),
	TEXT_FIELD("control", control, loom_setting_check_address, "ip:port"),
	{ .name = "state",
	    .type = LOOM_FIELD_CHOICE,
	    .required = true,
	    .offset = offsetof(struct loom_host, state),
	    .words = state_names },
	{ .name = "instance",
	    .type = LOOM_FIELD_TEXT,
	    .offset = offsetof(struct loom_host, instance),
	    .size = sizeof(((struct loom_host *)NULL)->instance) },
	{ .name = "slots",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct loom_host, slots),
	    .max = SLOTS_MAX },
	{ .name = "cold_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct loom_host, cold_ms),
	    .max = COLD_START_MAX_MS },
	{ .name = "evacuated",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct loom_host, evacuated) },
	{ .name = NULL },
};

static const struct loom_field list_fields[] = {
	{ .name = "hosts",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct host_list, hosts),
	    .size = sizeof(struct loom_host),
	    .fields = host_fields },
	{ .name = NULL },
};

/* loom_fields_read() needs an object: makes the array its only member. */
static struct json_object *
wrap_in_object(struct json_object *array)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "hosts", array);
	return object;
}

static bool
read_list(const char *service, struct json_object *object,
    struct host_list *list, GError **error)
{
	struct loom_field_source source = { .file = service, .codes = &codes };
	struct loom_problem *problems = NULL;
	bool ok;

	ok = loom_fields_read(&source, object, list_fields, list, &problems);
	if (!ok)
		loom_set_error(error, LOOM_HOSTS_MALFORMED, "%s: %s",
		    problems->where, problems->message);
	loom_problems_free(problems);
	return ok;
}

bool
loom_host_check(struct json_object *entry, GError **error)
{
	struct host_list list = { .hosts = NULL };
	struct json_object *array = json_object_new_array();
	struct json_object *object = wrap_in_object(array);
	bool ok;

	json_object_array_add(array, json_object_get(entry));
	ok = read_list("entry", object, &list, error);
	loom_fields_free(list_fields, &list);
	json_object_put(object);
	return ok;
}

static bool
check_unique_names(const char *service, const GArray *hosts, GError **error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	struct loom_host *host;
	bool ok = true;
	guint i;

	for (i = 0; i < hosts->len && ok; i++) {
		host = &g_array_index(hosts, struct loom_host, i);
		ok = g_hash_table_add(names, host->name);
		if (!ok)
			loom_set_error(error, LOOM_HOSTS_MALFORMED,
			    "%s:hosts[%u]: \"%s\" is listed twice", service, i,
			    host->name);
	}
	g_hash_table_unref(names);
	return ok;
}

static void
append_hosts(const char *service, GArray *from, GArray *to)
{
	struct loom_host *host;
	guint i;

	for (i = 0; i < from->len; i++) {
		host = &g_array_index(from, struct loom_host, i);
		host->id = loom_name_id(host->name);
		host->service_id = loom_name_id(service);
		g_strlcpy(host->service, service, sizeof(host->service));
	}
	g_array_append_vals(to, from->data, from->len);
}

bool
loom_hosts_parse(const char *service, const char *text, size_t len,
    GArray *hosts, GError **error)
{
	struct host_list list = { .hosts = NULL };
	struct json_object *object;
	const char *message;
	unsigned line;
	bool ok;

	if (len > LOOM_ENVELOPE_BYTES_MAX)
		return loom_set_error(error, LOOM_HOSTS_MALFORMED,
		    "hosts of %s: %zu bytes exceed the size limit", service,
		    len);
	object = loom_json_parse(text, len, &line, &message);
	if (object == NULL)
		return loom_set_error(error, LOOM_HOSTS_MALFORMED,
		    "hosts of %s:%u: %s", service, line, message);
	object = wrap_in_object(object);
	ok = read_list(service, object, &list, error) &&
	    check_unique_names(service, list.hosts, error);
	if (ok)
		append_hosts(service, list.hosts, hosts);
	loom_fields_free(list_fields, &list);
	json_object_put(object);
	return ok;
}

static int
compare_hosts(const void *a, const void *b)
{
	const struct loom_host *left = a, *right = b;

	if (left->service_id != right->service_id)
		return left->service_id < right->service_id ? -1 : 1;
	if (left->id != right->id)
		return left->id < right->id ? -1 : 1;
	return 0;
}

static int
compare_host_ids(const void *a, const void *b, void *arg)
{
	const struct loom_hosts *hosts = arg;
	uint64_t left = hosts->hosts[*(const uint32_t *)a].id;
	uint64_t right = hosts->hosts[*(const uint32_t *)b].id;

	return left < right ? -1 : left > right;
}

static void
destroy_hosts(void *object)
{
	struct loom_hosts *hosts = object;

	g_free(hosts->by_id);
	g_free(hosts->hosts);
	g_free(hosts);
}

struct loom_hosts *
loom_hosts_build(const GArray *from)
{
	struct loom_hosts *hosts = g_new0(struct loom_hosts, 1);
	uint32_t i;

	loom_ref_init(&hosts->ref, destroy_hosts);
	hosts->nhosts = from->len;
	hosts->hosts =
	    g_memdup2(from->data, from->len * sizeof(struct loom_host));
	hosts->by_id = g_new(uint32_t, from->len);
	if (hosts->nhosts == 0)
		return hosts;
	qsort(
	    hosts->hosts, hosts->nhosts, sizeof(*hosts->hosts), compare_hosts);
	for (i = 0; i < hosts->nhosts; i++)
		hosts->by_id[i] = i;
	qsort_r(hosts->by_id, hosts->nhosts, sizeof(*hosts->by_id),
	    compare_host_ids, hosts);
	return hosts;
}

struct loom_hosts *
loom_hosts_acquire(struct loom_hosts *hosts)
{
	loom_ref_acquire(&hosts->ref);
	return hosts;
}

void
loom_hosts_release(struct loom_hosts *hosts)
{
	loom_ref_release(&hosts->ref, hosts);
}

/* Returns the first index whose service id is not less than service_id. */
static uint32_t
lower_bound(const struct loom_hosts *hosts, uint64_t service_id)
{
	uint32_t low = 0, high = hosts->nhosts, middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (hosts->hosts[middle].service_id < service_id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

const struct loom_host *
loom_hosts_of_service(
    const struct loom_hosts *hosts, uint64_t service_id, uint32_t *n)
{
	uint32_t first = lower_bound(hosts, service_id), end = first;

	while (
	    end < hosts->nhosts && hosts->hosts[end].service_id == service_id)
		end++;
	*n = end - first;
	return *n == 0 ? NULL : &hosts->hosts[first];
}

const struct loom_host *
loom_hosts_find(const struct loom_hosts *hosts, uint64_t id)
{
	uint32_t low = 0, high = hosts->nhosts, middle;
	const struct loom_host *host;

	while (low < high) {
		middle = low + (high - low) / 2;
		host = &hosts->hosts[hosts->by_id[middle]];
		if (host->id == id)
			return host;
		if (host->id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}
