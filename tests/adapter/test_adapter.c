/*
 * Tests how the adapter translates what the platform publishes, including
 * malformed input, without a network.
 */

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "loom/hosts.h"
#include "loom/manifest.h"
#include "platform/adapter.h"
#include "support/test.h"

static const char valid_config[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-1\",\"host\":\"a.example\",\"prefix\":\"/x/\","
    "\"kind\":\"safe\",\"timeout_s\":1.25,\"aim_s\":0.5,\"priority\":2,"
    "\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"max_attempts\":2,"
    "\"public\":false},"
    "{\"name\":\"r-2\",\"host\":\"a.example\",\"prefix\":\"/x/y/\","
    "\"kind\":\"unsafe\",\"timeout_s\":2,\"aim_s\":1,\"priority\":0,"
    "\"service\":\"s2\",\"max_attempts\":3,\"public\":true,\"new\":1},"
    "{\"name\":\"r-3\",\"host\":\"b.example\",\"prefix\":\"/x/\","
    "\"kind\":\"upload\",\"timeout_s\":2,\"aim_s\":1,\"priority\":9,"
    "\"service\":\"s1\",\"max_attempts\":1}],"
    "\"services\":[{\"name\":\"s1\",\"health_path\":\"/health\","
    "\"cold_start_s\":3.0,\"cold_per_s\":14.5},{\"name\":\"s2\",\"cold_start_s\":2}],"
    "\"limits\":{\"max_body_bytes\":1000},"
    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":1,\"rate_per_s\":46,\"burst\":40},"
    "{\"name\":\"t2\",\"api_keys\":[],\"rate_per_s\":0}]}";

static struct loom_manifest *
build_manifest(const char *config)
{
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest = NULL;
	struct loom_document *document;
	GError *error = NULL;
	char *text;

	text = adapter_translate_config(config, strlen(config), &error);
	if (text == NULL) {
		g_error_free(error);
		return NULL;
	}
	document = loom_document_parse(text, strlen(text), "test", &problems);
	if (document != NULL)
		manifest = loom_manifest_build(&document, 1, 1, &problems);
	if (document != NULL)
		loom_document_release(document);
	loom_problems_free(problems);
	g_free(text);
	return manifest;
}

static const struct {
	const char *host, *path;
	const char *route; /* NULL if none matches */
} routing[] = {
	{ "a.example", "/x/1", "r-1" },
	{ "a.example:8080", "/x/1?q=/x/y/", "r-1" },
	{ "a.example", "/x/y/1", "r-2" }, /* the longest prefix */
	{ "a.example", "/x/y", "r-1" },
	{ "b.example", "/x/y/1", "r-3" },
	/* not normalized: the upstream receives the path as it was sent */
	{ "a.example", "/x//y/../1", "r-1" },
	{ "a.example", "/x/%79/1", "r-1" },
	{ "a.example", "/x", NULL },
	{ "a.example", "/", NULL },
	{ "c.example", "/x/1", NULL },
	{ NULL, "/x/1", NULL },
};

static void
test_config(void)
{
	struct loom_manifest *manifest = build_manifest(valid_config);
	const struct loom_service *service;
	const struct loom_route *route;
	uint8_t digest[LOOM_DIGEST_SIZE];
	const struct loom_key *key;
	size_t i;

	TEST_CHECK(manifest != NULL, "the configuration");
	if (manifest == NULL)
		return;
	TEST_CHECK(
	    !manifest->fleet.tickets && manifest->fleet.entry_decides, "fleet");
	for (i = 0; i < G_N_ELEMENTS(routing); i++) {
		route = loom_manifest_route_for_host(
		    manifest, routing[i].host, "PUT", routing[i].path);
		TEST_CHECK(g_strcmp0(route == NULL ? NULL : route->name,
			       routing[i].route) == 0,
		    "%zu: %s", i, route == NULL ? "none" : route->name);
	}
	route = loom_manifest_route_by_name(manifest, "r-1");
	TEST_CHECK(route->repeatable && !route->is_public, "safe");
	TEST_CHECK(route->timeout_ms == 1250 && route->aim_ms == 500, "times");
	TEST_CHECK(route->importance == LOOM_NORMAL, "importance");
	TEST_CHECK(route->max_attempts == 2, "attempts");
	TEST_CHECK(route->max_body_bytes == 1000, "body");
	TEST_CHECK(
	    route->nsplits == 2 && route->splits[1].weight == 10, "split");
	route = loom_manifest_route_by_name(manifest, "r-2");
	TEST_CHECK(!route->repeatable && route->is_public, "unsafe, public");
	TEST_CHECK(route->importance == LOOM_CRITICAL, "importance");
	route = loom_manifest_route_by_name(manifest, "r-3");
	TEST_CHECK(
	    !route->repeatable && route->importance == LOOM_LOW, "upload");
	loom_key_digest("k2", 2, digest);
	key = loom_manifest_key(manifest, digest);
	TEST_CHECK(key != NULL && key->team_index == 0, "key");
	TEST_CHECK(manifest->teams[0].rate_per_s == 46 &&
		manifest->teams[0].has_importance,
	    "rate");
	TEST_CHECK(manifest->teams[1].unlimited, "no rate, no limit");
	service = loom_manifest_service(manifest, "s1");
	TEST_CHECK(service->cold_per_s == 14.5 &&
		service->cold_start_ms == 3000 &&
		strcmp(service->health_path, "/health") == 0,
	    "cold start");
	service = loom_manifest_service(manifest, "s2");
	TEST_CHECK(service->cold_per_s == 0 && service->cold_start_ms == 0,
	    "no rate, no bound");
	loom_manifest_release(manifest);
}

/* Each case replaces one part of valid_config. */
static const struct {
	const char *name, *from, *to;
} invalid_configs[] = {
	{ "truncated", "\"burst\":40},", "" },
	{ "no version", "\"version\":7", "\"other\":7" },
	{ "version is a string", "\"version\":7", "\"version\":\"7\"" },
	{ "route without a kind", "\"kind\":\"safe\",", "" },
	{ "route without a service", "\"service\":\"s1\",\"max_attempts\":1",
	    "\"max_attempts\":1" },
	{ "unknown service", "\"service\":\"s1\",\"max_attempts\":1",
	    "\"service\":\"s9\",\"max_attempts\":1" },
	{ "no attempts", "\"max_attempts\":3", "\"max_attempts\":0" },
	{ "split without a weight", "\"weight\":10", "\"w\":10" },
	{ "prefix without a slash", "\"prefix\":\"/x/\"", "\"prefix\":\"x\"" },
	{ "no routes", "\"routes\":[", "\"r\":[" },
	{ "no services", "\"services\":[", "\"s\":[" },
	{ "team without a name", "{\"name\":\"t1\",", "{" },
};

/*
 * A configuration that can't be applied completely is rejected as a whole, so
 * that the previous one stays in force.
 */
static void
test_invalid_configs(void)
{
	struct loom_manifest *manifest;
	char **parts, *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(invalid_configs); i++) {
		parts = g_strsplit(valid_config, invalid_configs[i].from, 2);
		text = g_strjoinv(invalid_configs[i].to, parts);
		TEST_CHECK(strcmp(text, valid_config) != 0, "%s",
		    invalid_configs[i].name);
		manifest = build_manifest(text);
		TEST_CHECK(manifest == NULL, "%s", invalid_configs[i].name);
		if (manifest != NULL)
			loom_manifest_release(manifest);
		g_free(text);
		g_strfreev(parts);
	}
}

#define FULL_ENTRY(service, address, zone, slots, state, cold, born)   \
	"{\"service\":\"" service "\",\"address\":\"" address          \
	"\",\"zone\":\"" zone "\",\"version\":\"v1\",\"slots\":" slots \
	",\"state\":\"" state "\",\"cold_remaining_s\":" cold          \
	",\"sequence\":4,\"born\":" born "}"
#define ENTRY(service, ip, state, born) \
	FULL_ENTRY(service, ip ":8080", "dc-a", "36", state, "1.5", born)
#define LONG_NAME                            \
	"0123456789012345678901234567890123" \
	"0123456789012345678901234567890123"
#define DIGITS_40 "9999999999999999999999999999999999999999"
#define DIGITS_400                                                            \
	DIGITS_40 DIGITS_40 DIGITS_40 DIGITS_40 DIGITS_40 DIGITS_40 DIGITS_40 \
	    DIGITS_40 DIGITS_40 DIGITS_40
#define NESTED_64                          \
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[" \
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[" \
	"]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]" \
	"]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"
#define ODD_ENTRY(address, zone, slots, cold, born) \
	FULL_ENTRY("s1", address, zone, slots, "ready", cold, born)

static char *data_centres[] = { (char *)"dc-a=north", NULL };

static const struct adapter_fleet fleet = {
	.peer_port = "8081",
	.control_port = "8082",
	.data_centres = data_centres,
	.region = "south",
};

static const struct {
	const char *name, *text;
	bool good;
} entries[] = {
	{ "ready", ENTRY("s1", "10.0.0.1", "ready", "5"), true },
	{ "draining", ENTRY("s1", "10.0.0.1", "draining", "5"), true },
	{ "unknown state", ENTRY("s1", "10.0.0.1", "odd", "5"), false },
	{ "no address", ENTRY("s1", "", "ready", "5"), false },
	{ "not an object", "[1]", false },
	{ "not UTF-8", "\xff\xfe", false },
	{ "empty", "", false },
	{ "service is not a string",
	    "{\"service\":7,\"address\":\"10.0.0.1:1\",\"zone\":\"a\","
	    "\"slots\":1,\"state\":\"ready\"}",
	    false },
	{ "zone is not UTF-8",
	    ODD_ENTRY("10.0.0.9:1", "\xff\xfe", "1", "0", "1"), false },
	{ "zone is empty", ODD_ENTRY("10.0.0.9:1", "", "1", "0", "1"), false },
	{ "zone with a space", ODD_ENTRY("10.0.0.9:1", "a b", "1", "0", "1"),
	    false },
	{ "zone is long", ODD_ENTRY("10.0.0.9:1", LONG_NAME, "1", "0", "1"),
	    false },
	{ "service is long", ENTRY(LONG_NAME, "10.0.0.1", "ready", "5"),
	    false },
	{ "service with a space", ENTRY("s 1", "10.0.0.1", "ready", "5"),
	    false },
	{ "no port", ODD_ENTRY("10.0.0.9:", "a", "1", "0", "1"), false },
	{ "host name", ODD_ENTRY("nowhere:1", "a", "1", "0", "1"), false },
	{ "IPv6", ODD_ENTRY("[fd00::7]:1", "a", "1", "0", "1"), false },
	{ "URL", ODD_ENTRY("http://10.0.0.9:1", "a", "1", "0", "1"), false },
	{ "many slots", ODD_ENTRY("10.0.0.9:1", "a", "1e9", "0", "1"), false },
	{ "too many slots", ODD_ENTRY("10.0.0.9:1", "a", "1e300", "0", "1"),
	    false },
	{ "long warm-up", ODD_ENTRY("10.0.0.9:1", "a", "1", "1e9", "1"),
	    false },
	{ "endless warm-up", ODD_ENTRY("10.0.0.9:1", "a", "1", "1e300", "1"),
	    false },
	{ "no warm-up", ODD_ENTRY("10.0.0.9:1", "a", "1", "-1e300", "1"),
	    true },
	{ "started too late", ODD_ENTRY("10.0.0.9:1", "a", "1", "0", "1e300"),
	    false },
	{ "later at a known IP", ODD_ENTRY("10.0.0.1:1", "a b", "1", "0", "9"),
	    false },
	{ "port 0", ODD_ENTRY("10.0.0.9:0", "a", "1", "0", "1"), false },
	{ "port of 65536", ODD_ENTRY("10.0.0.9:65536", "a", "1", "0", "1"),
	    false },
	{ "port of many digits",
	    ODD_ENTRY("10.0.0.9:" DIGITS_400, "a", "1", "0", "1"), false },
	{ "negative port", ODD_ENTRY("10.0.0.9:-1", "a", "1", "0", "1"),
	    false },
	{ "letter in the port", ODD_ENTRY("10.0.0.9:8x", "a", "1", "0", "1"),
	    false },
	{ "octet of 256", ODD_ENTRY("10.0.0.256:1", "a", "1", "0", "1"),
	    false },
	{ "slots of 400 digits",
	    ODD_ENTRY("10.0.0.9:1", "a", DIGITS_400, "0", "1"), false },
	{ "slots beyond a double",
	    ODD_ENTRY("10.0.0.9:1", "a", "1e999", "0", "1"), false },
	{ "negative slots", ODD_ENTRY("10.0.0.9:1", "a", "-1", "0", "1"),
	    false },
	{ "slots are no number", ODD_ENTRY("10.0.0.9:1", "a", "NaN", "0", "1"),
	    false },
	{ "slots are an object", ODD_ENTRY("10.0.0.9:1", "a", "{}", "0", "1"),
	    false },
	{ "nested deeply", ODD_ENTRY("10.0.0.9:1", "a", NESTED_64, "0", "1"),
	    false },
	{ "no slots",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"a\","
	    "\"state\":\"ready\"}",
	    false },
};

static void
test_entries(void)
{
	struct adapter_upstream *upstream;
	GError *error;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		error = NULL;
		upstream = adapter_upstream_parse(NULL, &fleet, "i-1",
		    entries[i].text, strlen(entries[i].text), &error);
		TEST_CHECK((upstream != NULL) == entries[i].good, "%s",
		    entries[i].name);
		TEST_CHECK(
		    (error == NULL) == entries[i].good, "%s", entries[i].name);
		g_clear_error(&error);
		talloc_free(upstream);
	}
}

struct published {
	GHashTable *values; /* name to text, owned */
	uint32_t n;
};

static void
on_value(void *arg, const struct loom_platform_value *value)
{
	struct published *published = arg;

	published->n++;
	g_hash_table_replace(published->values, g_strdup(value->name),
	    g_strndup(value->text, value->len));
}

/* Formats an item of the store. A NULL value formats a deletion. */
static char *
format_item(const char *key, const char *value, unsigned revision)
{
	char *encoded, *text;

	if (value == NULL)
		return g_strdup_printf(
		    "{\"key\":\"%s\",\"revision\":%u,\"deleted\":true}", key,
		    revision);
	encoded = g_base64_encode((const guchar *)value, strlen(value));
	text = g_strdup_printf(
	    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%u,\"created\":1,"
	    "\"lease\":0}",
	    key, encoded, revision);
	g_free(encoded);
	return text;
}

/* A response of the store, and what is expected after it. */
struct step {
	const char *name;
	unsigned status;
	const char *list; /* "items" or "events"; NULL to send text */
	const char *text; /* response body if list is NULL */
	struct {
		const char *key, *value;
		unsigned revision;
	} items[3];
	bool has_more;
	unsigned current;
	enum loom_platform_read_result next;
	const char *next_call; /* substring of the next call's path */
	const char *service; /* whose host list is checked; or NULL */
	const char *hosts_contain; /* substring of that list */
};

#define S1_READY ENTRY("s1", "10.0.0.1", "ready", "5")
#define S1_DRAINING ENTRY("s1", "10.0.0.1", "draining", "5")
#define S1_SECOND ENTRY("s1", "10.0.0.2", "ready", "5")
#define S2_REUSES_IP ENTRY("s2", "10.0.0.1", "ready", "9")

static const struct step upstream_steps[] = {
	{ "first page", 200, "items", NULL, { { "servers/i-1", S1_READY, 3 } },
	    true, 10, LOOM_PLATFORM_MORE, "/kv-range?prefix=&after=servers/i-1",
	    NULL, NULL },
	{ "last page", 200, "items", NULL, { { "servers/i-2", S1_SECOND, 4 } },
	    false, 12, LOOM_PLATFORM_COMPLETE, "/kv-watch?prefix=&after=10&",
	    "s1", "\"i-2\"" },
	{ "no changes", 200, "events", NULL, { { NULL, NULL, 0 } }, false, 12,
	    LOOM_PLATFORM_COMPLETE, "after=12&", "s1", "\"i-1\"" },
	{ "an upstream drains", 200, "events", NULL,
	    { { "servers/i-1", S1_DRAINING, 13 } }, false, 13,
	    LOOM_PLATFORM_COMPLETE, "after=13&", "s1", "\"leaving\"" },
	{ "its IP is reassigned to another service", 200, "events", NULL,
	    { { "servers/i-9", S2_REUSES_IP, 14 } }, false, 14,
	    LOOM_PLATFORM_COMPLETE, "after=14&", "s2", "s2/10.0.0.1" },
	{ "the previous service loses the IP", 200, "events", NULL,
	    { { NULL, NULL, 0 } }, false, 14, LOOM_PLATFORM_COMPLETE,
	    "after=14&", "s1", "[{\"name\":\"s1/10.0.0.2\"" },
	{ "a malformed entry", 200, "events", NULL,
	    { { "servers/odd", "\x01", 15 } }, false, 15,
	    LOOM_PLATFORM_COMPLETE, "after=15&", "s1", "i-2" },
	{ "a configuration among the events", 200, "events", NULL,
	    { { "op/config", valid_config, 15 }, { "op/other", "x", 15 } },
	    false, 15, LOOM_PLATFORM_COMPLETE, "after=15&", "s1", "i-2" },
	{ "the revision decreases", 200, "events", NULL, { { NULL, NULL, 0 } },
	    false, 4, LOOM_PLATFORM_FAILED, "after=15&", "s1", "i-2" },
	{ "unavailable", 503, NULL, "", { { NULL, NULL, 0 } }, false, 0,
	    LOOM_PLATFORM_FAILED, "/kv-watch", "s1", "i-2" },
	{ "not JSON", 200, NULL, "<html>", { { NULL, NULL, 0 } }, false, 0,
	    LOOM_PLATFORM_FAILED, "/kv-watch", "s1", "i-2" },
	{ "no list", 200, NULL, "{\"current_rev\":20}", { { NULL, NULL, 0 } },
	    false, 0, LOOM_PLATFORM_FAILED, "after=15&", "s1", "i-2" },
	{ "the history was discarded", 410, NULL, "", { { NULL, NULL, 0 } },
	    false, 0, LOOM_PLATFORM_MORE, "/kv-range?prefix=", "s1", "i-2" },
	{ "an upstream is missing in the new scan", 200, "items", NULL,
	    { { "servers/i-9", S2_REUSES_IP, 14 } }, false, 30,
	    LOOM_PLATFORM_COMPLETE, "after=30&", "s1", "[]" },
	{ "gone", 200, "events", NULL, { { "servers/i-9", NULL, 31 } }, false,
	    31, LOOM_PLATFORM_COMPLETE, "after=31&", "s2", "[]" },
};

#define S1_OTHER_ZONE \
	FULL_ENTRY("s1", "10.0.0.3:8080", "dc-b", "36", "ready", "0", "5")
#define S1_EVACUATED \
	"\"instance\":\"i-1\",\"slots\":36,\"cold_ms\":1500,\"evacuated\":true"
#define S1_NOT_EVACUATED "\"instance\":\"i-1\",\"slots\":36,\"cold_ms\":1500}"

/* Guards against an evacuation that is missed, forgotten, or kept after its
 * end, and against odd keys that change more than the log. */
static const struct step evacuation_steps[] = {
	{ "evacuated before the scan", 200, "items", NULL,
	    { { "op/evacuate/dc-a", "{}", 3 }, { "servers/i-1", S1_READY, 3 },
		{ "servers/i-3", S1_OTHER_ZONE, 3 } },
	    false, 10, LOOM_PLATFORM_COMPLETE, "after=10&", "s1",
	    S1_EVACUATED },
	{ "the other data centre serves", 200, "events", NULL,
	    { { NULL, NULL, 0 } }, false, 10, LOOM_PLATFORM_COMPLETE,
	    "after=10&", "s1", "\"instance\":\"i-3\",\"slots\":36}" },
	{ "taken back", 200, "events", NULL,
	    { { "op/evacuate/dc-a", NULL, 11 } }, false, 11,
	    LOOM_PLATFORM_COMPLETE, "after=11&", "s1", S1_NOT_EVACUATED },
	{ "evacuated again", 200, "events", NULL,
	    { { "op/evacuate/dc-a", "{}", 12 } }, false, 12,
	    LOOM_PLATFORM_COMPLETE, "after=12&", "s1", S1_EVACUATED },
	{ "an upstream restarts meanwhile", 200, "events", NULL,
	    { { "servers/i-1", NULL, 13 }, { "servers/i-2", S1_READY, 13 } },
	    false, 13, LOOM_PLATFORM_COMPLETE, "after=13&", "s1",
	    "\"instance\":\"i-2\",\"slots\":36,\"cold_ms\":1500,"
	    "\"evacuated\":true" },
	{ "odd keys and values", 200, "events", NULL,
	    { { "op/evacuate/", "{}", 14 }, { "op/evacuate/nowhere", "{}", 14 },
		{ "op/evacuate", "{}", 14 } },
	    false, 14, LOOM_PLATFORM_COMPLETE, "after=14&", "s1",
	    "\"instance\":\"i-3\",\"slots\":36}" },
	{ "a name that only begins like a data centre's", 200, "events", NULL,
	    { { "op/evacuate/dc-b2", "{}", 15 },
		{ "op/evacuate/dc", "{}", 15 } },
	    false, 15, LOOM_PLATFORM_COMPLETE, "after=15&", "s1",
	    "\"instance\":\"i-3\",\"slots\":36}" },
	{ "all data centres at once", 200, "events", NULL,
	    { { "op/evacuate/dc-b", "", 16 } }, false, 16,
	    LOOM_PLATFORM_COMPLETE, "after=16&", "s1",
	    "\"instance\":\"i-3\",\"slots\":36,\"evacuated\":true" },
	{ "the store is unavailable", 503, NULL, "", { { NULL, NULL, 0 } },
	    false, 0, LOOM_PLATFORM_FAILED, "after=16&", "s1",
	    "\"instance\":\"i-3\",\"slots\":36,\"evacuated\":true" },
	{ "the history was discarded", 410, NULL, "", { { NULL, NULL, 0 } },
	    false, 0, LOOM_PLATFORM_MORE, "/kv-range?prefix=", "s1",
	    "\"instance\":\"i-3\",\"slots\":36,\"evacuated\":true" },
	{ "the new scan has one of two, on its first page", 200, "items", NULL,
	    { { "op/evacuate/dc-b", "{}", 16 } }, true, 20, LOOM_PLATFORM_MORE,
	    "/kv-range?prefix=&after=op/evacuate/dc-b", NULL, NULL },
	{ "the other one has ended", 200, "items", NULL,
	    { { "op/config", valid_config, 3 }, { "servers/i-2", S1_READY, 13 },
		{ "servers/i-3", S1_OTHER_ZONE, 3 } },
	    false, 21, LOOM_PLATFORM_COMPLETE, "after=20&", "s1",
	    "\"instance\":\"i-2\",\"slots\":36,\"cold_ms\":1500}" },
	{ "one of two remains", 200, "events", NULL, { { NULL, NULL, 0 } },
	    false, 21, LOOM_PLATFORM_COMPLETE, "after=21&", "s1",
	    "\"instance\":\"i-3\",\"slots\":36,\"evacuated\":true" },
};

static char *
build_response(const struct step *step)
{
	GString *text;
	char *one;
	size_t i;

	if (step->list == NULL)
		return g_strdup(step->text);
	text = g_string_new(NULL);
	g_string_printf(text, "{\"%s\":[", step->list);
	for (i = 0; i < G_N_ELEMENTS(step->items); i++) {
		if (step->items[i].key == NULL)
			break;
		one = format_item(step->items[i].key, step->items[i].value,
		    step->items[i].revision);
		g_string_append_printf(text, "%s%s", i > 0 ? "," : "", one);
		g_free(one);
	}
	g_string_append_printf(text, "],\"has_more\":%s,\"current_rev\":%u}",
	    step->has_more ? "true" : "false", step->current);
	return g_string_free(text, FALSE);
}

static void
run_steps(const struct step *steps, size_t nsteps)
{
	struct published published = {
		.values = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free),
	};
	void *state = adapter_source.open(NULL, "", (void *)&fleet);
	struct loom_platform_response response;
	struct loom_platform_request call;
	enum loom_platform_read_result next;
	GError *error;
	const char *hosts;
	char *text, *name;
	size_t i;

	for (i = 0; i < nsteps; i++) {
		text = build_response(&steps[i]);
		response = (struct loom_platform_response){
			.status = steps[i].status,
			.text = text,
			.len = strlen(text),
		};
		error = NULL;
		next = adapter_source.handle_response(
		    state, &response, on_value, &published, &error);
		TEST_CHECK(
		    next == steps[i].next, "%s: %d", steps[i].name, (int)next);
		TEST_CHECK((error != NULL) == (next == LOOM_PLATFORM_FAILED),
		    "%s", steps[i].name);
		g_clear_error(&error);
		call = (struct loom_platform_request){ .path = NULL };
		adapter_source.build_call(state, 500, &call);
		TEST_CHECK(strstr(call.path, steps[i].next_call) != NULL,
		    "%s: %s", steps[i].name, call.path);
		g_free(call.path);
		g_free(text);
		if (steps[i].service == NULL)
			continue;
		name = g_strconcat("hosts/", steps[i].service, NULL);
		hosts = g_hash_table_lookup(published.values, name);
		TEST_CHECK(
		    hosts != NULL && strstr(hosts, steps[i].hosts_contain),
		    "%s: %s", steps[i].name, hosts);
		g_free(name);
	}
	CU_ASSERT(g_hash_table_contains(published.values, "manifest/fleet"));
	talloc_free(state);
	g_hash_table_unref(published.values);
}

static void
test_store(void)
{
	run_steps(upstream_steps, G_N_ELEMENTS(upstream_steps));
}

static void
test_evacuations(void)
{
	run_steps(evacuation_steps, G_N_ELEMENTS(evacuation_steps));
}

/*
 * One entry of another writer that the product refuses keeps all hosts of its
 * service from joining and leaving, and hides an upstream at the same IP.
 */
static void
test_odd_entries(void)
{
	struct loom_platform_response response = { .status = 200 };
	struct step scan = {
		.list = "items",
		.items = { { "servers/i-1", S1_READY, 3 } },
		.current = 9,
	};
	struct published published;
	GArray *hosts;
	char *list;
	void *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		if (entries[i].good)
			continue;
		published = (struct published){
			.values = g_hash_table_new_full(
			    g_str_hash, g_str_equal, g_free, g_free),
		};
		hosts = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
		state = adapter_source.open(NULL, "", (void *)&fleet);
		scan.items[1].key = "servers/odd";
		scan.items[1].value = entries[i].text;
		scan.items[1].revision = 4;
		response.text = list = build_response(&scan);
		response.len = strlen(list);
		adapter_source.handle_response(
		    state, &response, on_value, &published, NULL);
		g_free(list);
		list = g_hash_table_lookup(published.values, "hosts/s1");
		TEST_CHECK(list != NULL &&
			loom_hosts_parse(
			    "s1", list, strlen(list), hosts, NULL) &&
			hosts->len == 1,
		    "%s: %s", entries[i].name, list);
		g_array_free(hosts, TRUE);
		g_hash_table_unref(published.values);
		talloc_free(state);
	}
}

/*
 * Guards against times that are no numbers and that are converted to integers
 * all the same, with a result that differs between processors.
 */
static void
test_odd_times(void)
{
	static const char *const times[] = { "NaN", "-NaN", "Infinity",
		"-Infinity", "1e999", "\"1\"", "null", "[]" };
	struct adapter_upstream *upstream;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(times); i++) {
		text = g_strdup_printf(
		    "{\"service\":\"s1\",\"address\":\"10.0.0.1:80\","
		    "\"zone\":\"dc-a\",\"slots\":1,\"state\":\"ready\","
		    "\"cold_remaining_s\":%s,\"born\":%s}",
		    times[i], times[i]);
		upstream = adapter_upstream_parse(
		    NULL, &fleet, "i-1", text, strlen(text), NULL);
		if (upstream != NULL)
			TEST_CHECK(
			    upstream->cold_ms == 0 && upstream->started_ms == 0,
			    "%s: cold for %u ms, started at %" PRId64, times[i],
			    upstream->cold_ms, upstream->started_ms);
		talloc_free(upstream);
		g_free(text);
	}
}

static void
handle_step(void *state, const struct step *step, struct published *published)
{
	char *text = build_response(step);
	const struct loom_platform_response response = {
		.status = 200,
		.text = text,
		.len = strlen(text),
	};

	adapter_source.handle_response(
	    state, &response, on_value, published, NULL);
	g_free(text);
}

static guint
count_hosts(const struct published *published)
{
	const char *list = g_hash_table_lookup(published->values, "hosts/s1");
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	guint n = G_MAXUINT;

	if (list != NULL &&
	    loom_hosts_parse("s1", list, strlen(list), hosts, NULL))
		n = hosts->len;
	g_array_free(hosts, TRUE);
	return n;
}

#define ODD_ROUNDS 20

/*
 * Guards against a daemon that ends, or no longer follows the list of
 * upstreams, where odd entries come with each page of it and change all the
 * time.
 */
static void
test_many_odd_entries(void)
{
	struct published published = {
		.values = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free),
	};
	void *state = adapter_source.open(NULL, "", (void *)&fleet);
	struct step page = { .list = "items", .has_more = true };
	struct step change = { .list = "events" };
	uint32_t revision = 5, round;
	char key[32];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		if (entries[i].good)
			continue;
		g_snprintf(key, sizeof(key), "servers/a-%03zu", i);
		page.items[0].key = key;
		page.items[0].value = entries[i].text;
		page.items[0].revision = 4;
		page.current = revision;
		handle_step(state, &page, &published);
	}
	page.items[0].key = "servers/i-1";
	page.items[0].value = S1_READY;
	page.has_more = false;
	handle_step(state, &page, &published);
	TEST_CHECK(count_hosts(&published) == 1, "the scan finds the host");
	for (round = 0; round < ODD_ROUNDS; round++) {
		for (i = 0; i < G_N_ELEMENTS(entries); i++) {
			if (entries[i].good)
				continue;
			change.items[0].key =
			    i % 2 == 0 ? "servers/odd" : "servers/i-1";
			change.items[0].value = entries[i].text;
			change.items[0].revision = change.current = ++revision;
			handle_step(state, &change, &published);
		}
		change.items[0].key = "servers/i-1";
		change.items[0].value = S1_READY;
		change.items[0].revision = change.current = ++revision;
		handle_step(state, &change, &published);
		TEST_CHECK(count_hosts(&published) == 1, "round %u: %u hosts",
		    round, count_hosts(&published));
	}
	g_hash_table_unref(published.values);
	talloc_free(state);
}

/* The product can parse the list that the adapter writes. */
static void
test_hosts(void)
{
	GHashTable *upstreams = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	struct adapter_upstream *upstream = adapter_upstream_parse(
	    NULL, &fleet, "i-1", S1_READY, strlen(S1_READY), NULL);
	const struct loom_host *host;
	char *text;

	g_hash_table_insert(upstreams, upstream->instance, upstream);
	text = adapter_build_host_list(&fleet, upstreams, evacuated, "s1");
	TEST_CHECK(loom_hosts_parse("s1", text, strlen(text), hosts, NULL) &&
		hosts->len == 1,
	    "%s", text);
	host = &g_array_index(hosts, struct loom_host, 0);
	TEST_CHECK(strcmp(host->name, "s1/10.0.0.1") == 0, "%s", host->name);
	TEST_CHECK(strcmp(host->peer, "10.0.0.1:8081") == 0, "%s", host->peer);
	TEST_CHECK(strcmp(host->region, "north") == 0, "%s", host->region);
	TEST_CHECK(strcmp(host->instance, "i-1") == 0, "%s", host->instance);
	TEST_CHECK(host->slots == 36 && host->cold_ms == 1500, "numbers");
	g_free(text);
	talloc_free(upstream);
	g_array_free(hosts, TRUE);
	g_hash_table_unref(upstreams);
	g_hash_table_unref(evacuated);
}

static const struct {
	enum loom_result code;
	enum loom_outcome outcome;
	uint16_t status;
} statuses[] = {
	{ LOOM_TEAM_RATE, LOOM_OUTCOME_NOT_RUN, 429 },
	{ LOOM_OVERLOAD, LOOM_OUTCOME_NOT_RUN, 503 },
	{ LOOM_UPSTREAM_CONNECT, LOOM_OUTCOME_NOT_RUN, 503 },
	{ LOOM_LATE, LOOM_OUTCOME_NOT_RUN, 503 },
	{ LOOM_CONTEXT_INVALID, LOOM_OUTCOME_NOT_RUN, 503 },
	{ LOOM_KEY_UNKNOWN, LOOM_OUTCOME_NOT_RUN, 401 },
	{ LOOM_ROUTE_UNKNOWN, LOOM_OUTCOME_NOT_RUN, 404 },
	{ LOOM_BODY_TOO_LARGE, LOOM_OUTCOME_NOT_RUN, 413 },
	/* the caller must not retry a request that may have run */
	{ LOOM_OVERLOAD, LOOM_OUTCOME_UNKNOWN, 502 },
	{ LOOM_TEAM_RATE, LOOM_OUTCOME_UNKNOWN, 502 },
	{ LOOM_BODY_TOO_LARGE, LOOM_OUTCOME_UNKNOWN, 502 },
	{ LOOM_UPSTREAM_CUT, LOOM_OUTCOME_UNKNOWN, 502 },
	{ LOOM_DEADLINE, LOOM_OUTCOME_UNKNOWN, 504 },
	{ LOOM_QUARANTINED, LOOM_OUTCOME_UNKNOWN, 502 },
};

static void
test_refusals(void)
{
	char text[32];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		const struct loom_refusal refusal = {
			.code = statuses[i].code,
			.outcome = statuses[i].outcome,
		};

		TEST_CHECK(
		    adapter_dialect.status(&refusal) == statuses[i].status,
		    "%zu: %u", i, adapter_dialect.status(&refusal));
	}
	adapter_dialect.retry_after(1250, text, sizeof(text));
	TEST_CHECK(strcmp(text, "1.250") == 0, "%s", text);
	adapter_dialect.retry_after(7, text, sizeof(text));
	TEST_CHECK(strcmp(text, "0.007") == 0, "%s", text);
}

/* The platform's names of what an upstream states in its answers. */
static void
test_statements(void)
{
	CU_ASSERT_STRING_EQUAL(adapter_dialect.rate_header, "Server-Limit");
	CU_ASSERT_STRING_EQUAL(
	    adapter_dialect.leaving_header, "Server-Leaving");
}

static const struct test_case tests[] = {
	{ "statements", test_statements },
	{ "configuration", test_config },
	{ "invalid configurations", test_invalid_configs },
	{ "upstream entries", test_entries },
	{ "odd-entries", test_odd_entries },
	{ "odd-times", test_odd_times },
	{ "many-odd-entries", test_many_odd_entries },
	{ "store responses", test_store },
	{ "evacuations", test_evacuations },
	{ "host list", test_hosts },
	{ "refusals", test_refusals },
};

TEST_MAIN("adapter", tests)
