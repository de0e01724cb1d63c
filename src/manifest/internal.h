#ifndef LOOM_MANIFEST_INTERNAL_H
#define LOOM_MANIFEST_INTERNAL_H

/*
 * Declarations shared by the files of the manifest package.
 */

#include "loom/fields.h"
#include "loom/manifest.h"
#include "loom/sign.h"

#define LOOM_RETRY_BUDGET_DEFAULT 2
#define LOOM_RETRY_RATIO_DEFAULT 0.1
#define LOOM_FLEET_DEFAULT                                                \
	{                                                                 \
		.retry_budget = LOOM_RETRY_BUDGET_DEFAULT,                \
		.retry_ratio = LOOM_RETRY_RATIO_DEFAULT, .tickets = true, \
	}

/* The parsed form of an element of "keys". */
struct key_entry {
	char id[LOOM_NAME_MAX + 1];
	char sha256[2 * LOOM_DIGEST_SIZE + 1];
	/* decoded from sha256; set only if that is valid */
	uint8_t digest[LOOM_DIGEST_SIZE];
	bool withdrawn;
};

struct team_entry {
	char name[LOOM_NAME_MAX + 1];
	double rate_per_s;
	uint32_t burst;
	bool unlimited;
	uint32_t importance;
	bool importance_seen;
	GArray *keys; /* of struct key_entry */
};

struct service_entry {
	char name[LOOM_NAME_MAX + 1];
	uint32_t slots;
	uint32_t queue;
	bool queue_seen;
	uint32_t cold_start_ms;
	double cold_per_s;
	char load_path[LOOM_NAME_MAX + 1];
	char health_path[LOOM_NAME_MAX + 1];
};

struct split_entry {
	char service[LOOM_NAME_MAX + 1];
	uint32_t weight;
};

struct route_entry {
	char name[LOOM_NAME_MAX + 1];
	char service[LOOM_NAME_MAX + 1];
	char host[128];
	char method[16];
	char path[256];
	uint32_t importance;
	bool idempotent;
	bool idempotent_seen;
	char **calls; /* NULL-terminated */
	uint32_t deadline_ms;
	uint32_t timeout_ms;
	uint32_t aim_ms;
	uint32_t max_attempts;
	bool is_public;
	GArray *splits; /* of struct split_entry */
	uint64_t max_body_bytes;
};

struct document_body {
	char name[LOOM_NAME_MAX + 1];
	uint64_t version;
	struct loom_fleet fleet;
	bool fleet_seen;
	GArray *teams; /* of struct team_entry */
	GArray *services; /* of struct service_entry */
	GArray *routes; /* of struct route_entry */
};

struct loom_document {
	struct loom_ref ref;
	char *file; /* owned; used in messages */
	struct document_body body;
};

/* Describes the fields of struct document_body. */
extern const struct loom_field manifest_document_fields[];

/* Accepts one or more letters, digits and "._/-"; a loom_field.check. */
enum loom_result manifest_check_name(const char *name);
#define MANIFEST_NAME_EXPECTS "letters, digits and any of . _ / -"

/* Returns false for a path that an upstream may interpret as another path
 * (path.c). */
bool manifest_path_is_normalized(const char *path, size_t len);

struct loom_manifest_index *manifest_index_new(const struct loom_manifest *);
void manifest_index_free(struct loom_manifest_index *);

#endif
