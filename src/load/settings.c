/*
 * Field tables of the load tool's settings.
 */

#include <stddef.h>

#include "load/settings.h"

#define MS_PER_DAY 86400000.0
#define RATE_MAX 1e6

static const char *const importances[] = {
	[LOAD_CRITICAL] = "critical",
	[LOAD_HIGH] = "high",
	[LOAD_NORMAL] = "normal",
	[LOAD_LOW] = "low",
	NULL,
};

static const char *const retries[] = {
	[LOAD_RETRY_NONE] = "none",
	[LOAD_RETRY_POLITE] = "polite",
	[LOAD_RETRY_IMPATIENT] = "impatient",
	NULL,
};

#define TEXT(type_, member, is_required)                                      \
	{                                                                     \
		.name = #member, .type = LOOM_FIELD_STRING,                   \
		.required = (is_required), .offset = offsetof(type_, member), \
	}

#define NUMBER(type_, member, low, high, default_value)           \
	{                                                         \
		.name = #member, .type = LOOM_FIELD_U32,          \
		.offset = offsetof(type_, member), .min = (low),  \
		.max = (high), .number_default = (default_value), \
	}

#define REAL(type_, member, high, default_value)                            \
	{                                                                   \
		.name = #member, .type = LOOM_FIELD_DOUBLE,                 \
		.offset = offsetof(type_, member), .min = 0, .max = (high), \
		.number_default = (default_value),                          \
	}

static const struct loom_field route_fields[] = {
	TEXT(struct load_route, method, true),
	TEXT(struct load_route, path, true),
	{ .name = "importance",
	    .type = LOOM_FIELD_CHOICE,
	    .offset = offsetof(struct load_route, importance),
	    .words = importances,
	    .number_default = LOAD_NORMAL },
	REAL(struct load_route, weight, RATE_MAX, 1),
	{ .name = "ticket",
	    .type = LOOM_FIELD_BOOL,
	    .offset = offsetof(struct load_route, ticket) },
	NUMBER(struct load_route, body_bytes, 0, 1e9, 0),
	NUMBER(struct load_route, deadline_ms, 1, MS_PER_DAY, 10000),
	{ .name = NULL },
};

static const struct loom_field team_fields[] = {
	TEXT(struct load_team, name, true),
	TEXT(struct load_team, key, true),
	REAL(struct load_team, rate_per_s, RATE_MAX, 1),
	REAL(struct load_team, granted_per_s, 1e9, 0),
	NUMBER(struct load_team, granted_burst, 0, 1e9, 0),
	{ .name = "retry",
	    .type = LOOM_FIELD_CHOICE,
	    .offset = offsetof(struct load_team, retry),
	    .words = retries,
	    .number_default = LOAD_RETRY_POLITE },
	NUMBER(struct load_team, attempts, 1, 1000, 3),
	{ .name = "routes",
	    .type = LOOM_FIELD_LIST,
	    .required = true,
	    .offset = offsetof(struct load_team, routes),
	    .size = sizeof(struct load_route),
	    .fields = route_fields },
	{ .name = NULL },
};

static const struct loom_field surge_fields[] = {
	TEXT(struct load_surge, team, true),
	NUMBER(struct load_surge, from_ms, 0, MS_PER_DAY, 0),
	NUMBER(struct load_surge, until_ms, 0, MS_PER_DAY, 0),
	REAL(struct load_surge, times, 1000, 1),
	{ .name = NULL },
};

const struct loom_field load_settings_fields[] = {
	NUMBER(struct load_settings, seed, 0, UINT32_MAX, 1),
	NUMBER(struct load_settings, duration_ms, 1, MS_PER_DAY, 10000),
	NUMBER(struct load_settings, requests, 0, 1e9, 0),
	NUMBER(struct load_settings, outstanding, 1, 1e6, 10000),
	{ .name = "entries",
	    .type = LOOM_FIELD_STRINGS,
	    .required = true,
	    .offset = offsetof(struct load_settings, entries),
	    .check = loom_setting_check_address,
	    .expects = "an address ip:port" },
	{ .name = "teams",
	    .type = LOOM_FIELD_LIST,
	    .required = true,
	    .offset = offsetof(struct load_settings, teams),
	    .size = sizeof(struct load_team),
	    .fields = team_fields },
	{ .name = "surges",
	    .type = LOOM_FIELD_LIST,
	    .offset = offsetof(struct load_settings, surges),
	    .size = sizeof(struct load_surge),
	    .fields = surge_fields },
	{ .name = "once",
	    .type = LOOM_FIELD_STRINGS,
	    .offset = offsetof(struct load_settings, once) },
	{ .name = NULL },
};

const char *
load_importance_name(uint32_t importance)
{
	return importances[importance];
}
