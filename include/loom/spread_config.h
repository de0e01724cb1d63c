#ifndef LOOM_SPREAD_CONFIG_H
#define LOOM_SPREAD_CONFIG_H

/*
 * The spread of versions joined to what it carries: readers of the platform,
 * signed documents, the manifest and the hosts.  What passes all checks is
 * told to the parts of the control thread and published to the owner.
 */

#include "loom/control_thread.h"
#include "loom/platform.h"
#include "loom/sign.h"
#include "loom/spread.h"

/* Called on the control thread when either changed.  Both borrowed: acquire
 * to keep.  One is NULL until it is first in force. */
typedef void (*loom_spread_publish)(
    void *arg, struct loom_manifest *manifest, struct loom_hosts *hosts);

struct loom_spread_config_options {
	struct loom_control *control; /* borrowed, not yet started */
	struct loom_self self; /* strings borrowed */
	struct loom_random random; /* arg borrowed */
	const char *platform_url; /* "http://ip:port"; copied */
	const char *address; /* ip to read it from, or NULL; borrowed */
	/* how it is read; NULL for loom_platform_values */
	const struct loom_platform_source *source; /* borrowed */
	void *source_arg; /* borrowed */
	const struct loom_public_key *trusted; /* copied */
	size_t ntrusted;
	/* A change is in force so long after the platform acknowledged it;
	 * 0 for LOOM_SPREAD_WITHIN_US. */
	uint64_t within_us;
	/* The platform never answers with an older state than it has answered
	 * with before: its word alone is enough to start by. */
	bool is_current;
	/* Documents come without an envelope: whoever writes to the platform
	 * is trusted, and no one else can. */
	bool is_unsigned;
	const char *const *seeds; /* control addresses "ip:port"; may be
				   * stale or none; copied */
	size_t nseeds;
	loom_spread_publish publish;
	void *arg; /* borrowed */
};

struct loom_spread_config;

/* Made, and added to the control thread, before the latter's start; freed
 * after its stop and before loom_control_free(), by talloc_free().  NULL when
 * out of memory. */
struct loom_spread_config *loom_spread_config_new(
    const struct loom_spread_config_options *);

/* For loom_spread_is_ready() and loom_spread_status().  Borrowed. */
struct loom_spread *loom_spread_config_part(struct loom_spread_config *);

#endif
