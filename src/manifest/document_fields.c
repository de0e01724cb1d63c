/*
 * The field tables of a manifest document: names, types, bounds, defaults and
 * the syntax checks of single values.
 */

#include <string.h>

#include "loom/fields.h"
#include "manifest/internal.h"

#define RATE_MAX_PER_S 1e9
#define BURST_MAX 1e9
#define SLOTS_MAX 1e6
#define FLEET_SLOTS_MAX 1e6
#define RETRY_BUDGET_MAX 100
#define COLD_START_MAX_MS 3600e3
#define DEADLINE_MAX_MS 86400e3
#define BODY_MAX_BYTES (1024.0 * 1024 * 1024 * 1024)

#define ATTEMPTS_MAX 16
#define WEIGHT_MAX 1e6

#define DEFAULT_ATTEMPTS 4
#define DEFAULT_SERVICE_SLOTS 16
#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_BODY_BYTES (1024 * 1024)

static const char *const importance_names[] = {
	[LOOM_CRITICAL] = "critical",
	[LOOM_HIGH] = "high",
	[LOOM_NORMAL] = "normal",
	[LOOM_LOW] = "low",
	[LOOM_IMPORTANCE_COUNT] = NULL,
};

const char *
loom_importance_name(enum loom_importance importance)
{
	return importance < LOOM_IMPORTANCE_COUNT ? importance_names[importance]
						  : "?";
}

/*
 * For a critical team the result is critical on every route.  For a high team
 * it is one level below the route's, LOOM_LOW at the lowest.  For all other
 * teams it is LOOM_LOW.
 */
enum loom_importance
loom_importance_combine(enum loom_importance team, enum loom_importance route)
{
	unsigned level;

	if (team == LOOM_CRITICAL)
		return LOOM_CRITICAL;
	level = (unsigned)(team - LOOM_HIGH) * LOOM_LOW + LOOM_HIGH + route;
	return (enum loom_importance)MIN(level, (unsigned)LOOM_LOW);
}

enum loom_result
manifest_check_name(const char *name)
{
	const char *c;

	for (c = name; *c != '\0'; c++) {
		if (!g_ascii_isalnum(*c) && strchr("._/-", *c) == NULL)
			return LOOM_MANIFEST_NAME;
	}
	return c == name ? LOOM_MANIFEST_NAME : LOOM_OK;
}

static enum loom_result
check_sha256(const char *text)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return LOOM_MANIFEST_KEY;
	}
	return i == 2 * LOOM_DIGEST_SIZE ? LOOM_OK : LOOM_MANIFEST_KEY;
}

static enum loom_result
check_method(const char *method)
{
	const char *c;

	if (strcmp(method, "*") == 0)
		return LOOM_OK;
	for (c = method; *c != '\0'; c++) {
		if (!g_ascii_isupper(*c))
			return LOOM_MANIFEST_PATH;
	}
	return c == method ? LOOM_MANIFEST_PATH : LOOM_OK;
}

static bool
is_path_character(char c)
{
	return g_ascii_isalnum(c) ||
	    (c != '\0' && strchr("/._~!$&'()+,;=:@%-", c) != NULL);
}

/* Allows "*" only as the last character, and no query. */
static enum loom_result
check_path(const char *path)
{
	size_t i, len = strlen(path);

	if (path[0] != '/')
		return LOOM_MANIFEST_PATH;
	if (path[len - 1] == '*')
		len--;
	for (i = 0; i < len; i++) {
		if (!is_path_character(path[i]))
			return LOOM_MANIFEST_PATH;
	}
	if (!manifest_path_is_normalized(path, len))
		return LOOM_MANIFEST_PATH;
	return LOOM_OK;
}

static enum loom_result
check_load_path(const char *path)
{
	if (strchr(path, '*') != NULL)
		return LOOM_MANIFEST_PATH;
	return check_path(path);
}

#define NAME_FIELD(label, type_name, member)                                \
	{                                                                   \
		.name = (label), .type = LOOM_FIELD_TEXT, .required = true, \
		.offset = offsetof(struct type_name, member),               \
		.size = LOOM_NAME_MAX + 1, .check = manifest_check_name,    \
		.expects = MANIFEST_NAME_EXPECTS,                           \
	}

static const struct loom_field key_fields[] = {
	NAME_FIELD("id", key_entry, id),
	{ .name = "sha256",
	    .type = LOOM_FIELD_TEXT,
	    .required = true,
	    .offset = offsetof(struct key_entry, sha256),
	    .size = 2 * LOOM_DIGEST_SIZE + 1,
	    .check = check_sha256,
	    .expects = "the 64 hexadecimal digits of a SHA-256" },
	{ .name = "withdrawn",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct key_entry, withdrawn) },
	{ .name = NULL },
};

static const struct loom_field team_fields[] = {
	NAME_FIELD("name", team_entry, name),
	{ .name = "rate_per_s",
	    .type = LOOM_FIELD_DOUBLE,
	    .required = true,
	    .offset = offsetof(struct team_entry, rate_per_s),
	    .max = RATE_MAX_PER_S },
	{ .name = "burst",
	    .type = LOOM_FIELD_U32,
	    .required = true,
	    .offset = offsetof(struct team_entry, burst),
	    .max = BURST_MAX },
	{ .name = "unlimited",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct team_entry, unlimited) },
	{ .name = "importance",
	    .type = LOOM_FIELD_CHOICE,
	    .offset = offsetof(struct team_entry, importance),
	    .present_offset = offsetof(struct team_entry, importance_seen),
	    .words = importance_names,
	    .number_default = LOOM_NORMAL },
	{ .name = "keys",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct team_entry, keys),
	    .size = sizeof(struct key_entry),
	    .fields = key_fields },
	{ .name = NULL },
};

static const struct loom_field service_fields[] = {
	NAME_FIELD("name", service_entry, name),
	{ .name = "slots",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct service_entry, slots),
	    .min = 1,
	    .max = SLOTS_MAX,
	    .number_default = DEFAULT_SERVICE_SLOTS },
	{ .name = "queue",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct service_entry, queue),
	    .present_offset = offsetof(struct service_entry, queue_seen),
	    .max = SLOTS_MAX },
	{ .name = "cold_start_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct service_entry, cold_start_ms),
	    .max = COLD_START_MAX_MS },
	{ .name = "cold_per_s",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = offsetof(struct service_entry, cold_per_s),
	    .max = RATE_MAX_PER_S },
	{ .name = "health_path",
	    .type = LOOM_FIELD_TEXT,
	    .offset = offsetof(struct service_entry, health_path),
	    .size = LOOM_NAME_MAX + 1,
	    .check = check_load_path,
	    .expects = "a path that begins with \"/\"" },
	{ .name = "load_path",
	    .type = LOOM_FIELD_TEXT,
	    .offset = offsetof(struct service_entry, load_path),
	    .size = LOOM_NAME_MAX + 1,
	    .check = check_load_path,
	    .expects = "a path that begins with \"/\"" },
	{ .name = NULL },
};

static const struct loom_field part_fields[] = {
	NAME_FIELD("service", split_entry, service),
	{ .name = "weight",
	    .type = LOOM_FIELD_U32,
	    .required = true,
	    .offset = offsetof(struct split_entry, weight),
	    .max = WEIGHT_MAX },
	{ .name = NULL },
};

static enum loom_result
check_host(const char *host)
{
	return host[0] == '\0' ? LOOM_OK : manifest_check_name(host);
}

static const struct loom_field route_fields[] = {
	NAME_FIELD("name", route_entry, name),
	NAME_FIELD("service", route_entry, service),
	{ .name = "host",
	    .type = LOOM_FIELD_TEXT,
	    .offset = offsetof(struct route_entry, host),
	    .size = sizeof(((struct route_entry *)NULL)->host),
	    .check = check_host,
	    .expects = MANIFEST_NAME_EXPECTS },
	{ .name = "public",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct route_entry, is_public) },
	{ .name = "split",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct route_entry, splits),
	    .size = sizeof(struct split_entry),
	    .fields = part_fields },
	{ .name = "timeout_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct route_entry, timeout_ms),
	    .max = DEADLINE_MAX_MS },
	{ .name = "aim_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct route_entry, aim_ms),
	    .max = DEADLINE_MAX_MS },
	{ .name = "max_attempts",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct route_entry, max_attempts),
	    .min = 1,
	    .max = ATTEMPTS_MAX,
	    .number_default = DEFAULT_ATTEMPTS },
	{ .name = "method",
	    .type = LOOM_FIELD_TEXT,
	    .required = true,
	    .offset = offsetof(struct route_entry, method),
	    .size = sizeof(((struct route_entry *)NULL)->method),
	    .check = check_method,
	    .expects = "a method in capitals, or \"*\" for any" },
	{ .name = "path",
	    .type = LOOM_FIELD_TEXT,
	    .required = true,
	    .offset = offsetof(struct route_entry, path),
	    .size = sizeof(((struct route_entry *)NULL)->path),
	    .check = check_path,
	    .expects = "a path that begins with \"/\", with \"*\" at its end "
		       "alone and without a query or \"..\"" },
	{ .name = "importance",
	    .type = LOOM_FIELD_CHOICE,
	    .offset = offsetof(struct route_entry, importance),
	    .words = importance_names,
	    .number_default = LOOM_NORMAL },
	{ .name = "idempotent",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct route_entry, idempotent),
	    .present_offset = offsetof(struct route_entry, idempotent_seen) },
	{ .name = "calls",
	    .type = LOOM_FIELD_STRINGS,
	    .offset = offsetof(struct route_entry, calls),
	    .check = manifest_check_name,
	    .expects = MANIFEST_NAME_EXPECTS },
	{ .name = "deadline_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct route_entry, deadline_ms),
	    .min = 1,
	    .max = DEADLINE_MAX_MS,
	    .number_default = DEFAULT_DEADLINE_MS },
	{ .name = "max_body_bytes",
	    .type = LOOM_FIELD_U64,
	    .offset = offsetof(struct route_entry, max_body_bytes),
	    .max = BODY_MAX_BYTES,
	    .number_default = DEFAULT_BODY_BYTES },
	{ .name = NULL },
};

static const struct loom_field fleet_fields[] = {
	{ .name = "slots",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct loom_fleet, slots),
	    .max = FLEET_SLOTS_MAX },
	{ .name = "retry_budget",
	    .type = LOOM_FIELD_U32,
	    .offset = offsetof(struct loom_fleet, retry_budget),
	    .max = RETRY_BUDGET_MAX,
	    .number_default = LOOM_RETRY_BUDGET_DEFAULT },
	{ .name = "retry_ratio",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = offsetof(struct loom_fleet, retry_ratio),
	    .max = 1,
	    .number_default = LOOM_RETRY_RATIO_DEFAULT },
	{ .name = "tickets",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct loom_fleet, tickets),
	    .number_default = true },
	{ .name = "entry_decides",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct loom_fleet, entry_decides) },
	{ .name = NULL },
};

const struct loom_field manifest_document_fields[] = {
	NAME_FIELD("document", document_body, name),
	{ .name = "version",
	    .type = LOOM_FIELD_U64,
	    .required = true,
	    .offset = offsetof(struct document_body, version),
	    .min = 1,
	    .max = (double)INT64_MAX },
	{ .name = "fleet",
	    .type = LOOM_FIELD_OBJECT,
	    .offset = offsetof(struct document_body, fleet),
	    .present_offset = offsetof(struct document_body, fleet_seen),
	    .fields = fleet_fields },
	{ .name = "teams",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct document_body, teams),
	    .size = sizeof(struct team_entry),
	    .fields = team_fields },
	{ .name = "services",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct document_body, services),
	    .size = sizeof(struct service_entry),
	    .fields = service_fields },
	{ .name = "routes",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct document_body, routes),
	    .size = sizeof(struct route_entry),
	    .fields = route_fields },
	{ .name = NULL },
};
