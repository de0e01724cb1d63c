#ifndef LOOM_LOAD_SETTINGS_H
#define LOOM_LOAD_SETTINGS_H

/*
 * Settings of the load tool (docs/LOAD.md).
 */

#include "loom/settings.h"

enum load_importance {
	LOAD_CRITICAL,
	LOAD_HIGH,
	LOAD_NORMAL,
	LOAD_LOW,
	LOAD_IMPORTANCES,
};

/* When a team's callers retry.  Sending an offered ticket is not a retry. */
enum load_retry_policy {
	LOAD_RETRY_NONE, /* never */
	LOAD_RETRY_POLITE, /* after the time in Retry-After */
	LOAD_RETRY_IMPATIENT, /* almost at once, ignoring Retry-After */
};

struct load_route {
	char *method;
	char *path;
	uint32_t importance; /* enum load_importance, as in the manifest */
	double weight; /* relative frequency among the team's routes */
	bool ticket; /* not idempotent: requires a ticket */
	uint32_t body_bytes;
	uint32_t deadline_ms;
};

struct load_team {
	char *name;
	char *key;
	double rate_per_s; /* rate of requests to generate */
	double granted_per_s; /* as in the manifest; 0: not checked */
	uint32_t granted_burst;
	uint32_t retry; /* enum load_retry_policy */
	uint32_t attempts; /* maximum per request, including the first */
	GArray *routes; /* struct load_route */
};

/* Multiplies a team's rate by times for a period. */
struct load_surge {
	char *team;
	uint32_t from_ms; /* since the start of the run */
	uint32_t until_ms;
	double times;
};

struct load_settings {
	uint32_t seed;
	uint32_t duration_ms; /* no arrivals after this time */
	uint32_t requests; /* nor after this many requests; 0: no limit */
	uint32_t outstanding; /* maximum of requests in flight */
	char **entries; /* daemons, "ip:port" */
	GArray *teams; /* struct load_team */
	GArray *surges; /* struct load_surge */
	char **once; /* "METHOD PATH" of inner calls that need a ticket */
};

extern const struct loom_field load_settings_fields[];

/* The name of an importance as in the manifest; borrowed, static. */
const char *load_importance_name(uint32_t importance);

#endif
