#ifndef LOOM_LOAD_SETTINGS_H
#define LOOM_LOAD_SETTINGS_H

/*
 * What a run of the load tool is told (docs/LOAD.md).
 */

#include "loom/settings.h"

enum load_importance {
	LOAD_CRITICAL,
	LOAD_HIGH,
	LOAD_NORMAL,
	LOAD_LOW,
	LOAD_IMPORTANCES,
};

/* How a team's callers take a refusal. */
enum load_retry {
	LOAD_RETRY_NONE, /* the first answer is the last */
	LOAD_RETRY_POLITE, /* wait as long as Retry-After says */
	LOAD_RETRY_IMPATIENT, /* send again at once, whatever it says */
};

struct load_route {
	char *method;
	char *path;
	uint32_t importance; /* enum load_importance, as in the manifest */
	double weight; /* share among the team's routes */
	bool ticket; /* not idempotent: takes a ticket */
	uint32_t body_bytes;
	uint32_t deadline_ms;
};

struct load_team {
	char *name;
	char *key;
	double rate_per_s; /* offered */
	double granted_per_s; /* the manifest's; 0: not judged */
	uint32_t granted_burst;
	uint32_t retry; /* enum load_retry */
	uint32_t attempts; /* for one request, the first one included */
	GArray *routes; /* struct load_route */
};

/* A team offers times its rate for a while. */
struct load_surge {
	char *team;
	uint32_t from_ms; /* since the start of the run */
	uint32_t until_ms;
	double times;
};

struct load_settings {
	uint32_t seed;
	uint32_t duration_ms; /* arrivals end then */
	uint32_t requests; /* or after so many; 0: no bound */
	uint32_t outstanding; /* requests that may be open at once */
	char **entries; /* daemons, "ip:port" */
	GArray *teams; /* struct load_team */
	GArray *surges; /* struct load_surge */
	char **once; /* "METHOD PATH" of deeper routes with tickets */
};

extern const struct loom_field load_fields[];

/* The word of an importance, as in the manifest; borrowed, static. */
const char *load_importance_name(uint32_t importance);

#endif
