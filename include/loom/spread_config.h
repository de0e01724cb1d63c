#ifndef LOOM_SPREAD_CONFIG_H
#define LOOM_SPREAD_CONFIG_H

/*
 * Connects the gossip protocol to the configuration that it distributes: reads
 * the platform, verifies signed documents, and builds the manifest and the
 * hosts.  What passes all checks is passed to the other parts of the control
 * thread and published to the owner.
 */

#include "loom/control_thread.h"
#include "loom/platform.h"
#include "loom/sign.h"
#include "loom/spread.h"

/* Called on the control thread after either has changed.  Both are borrowed:
 * acquire them to keep them.  Each is NULL until it is first in effect. */
typedef void (*loom_spread_publish)(
    void *arg, struct loom_manifest *manifest, struct loom_hosts *hosts);

struct loom_spread_config_options {
	struct loom_control *control; /* borrowed, not yet started */
	struct loom_self self; /* strings borrowed */
	struct loom_random random; /* arg borrowed */
	const char *platform_url; /* "http://ip:port"; copied */
	const char *address; /* source address, or NULL; borrowed */
	/* how to read it; NULL for loom_platform_values */
	const struct loom_platform_source *source; /* borrowed */
	void *source_arg; /* borrowed */
	const struct loom_public_key *trusted; /* copied */
	size_t ntrusted;
	/* Bound on the time from a change's acknowledgement by the platform
	 * until it is in effect; 0 for LOOM_SPREAD_WITHIN_DEFAULT_US. */
	uint64_t within_us;
	/* The platform never answers with an older state than before, so that
	 * its answer alone is enough to start. */
	bool platform_is_current;
	/* Documents have no signed envelope: whoever can write to the platform
	 * is trusted, and no one else can write. */
	bool is_unsigned;
	const char *const *seeds; /* control addresses "ip:port"; may be
				     outdated or none; copied */
	size_t nseeds;
	loom_spread_publish publish;
	void *arg; /* borrowed */
};

struct loom_spread_config;

/*
 * Creates it and adds it to the control thread, which must not have started.
 * Free it with talloc_free() after the control thread has stopped and before
 * loom_control_free().  Returns NULL when out of memory.
 */
struct loom_spread_config *loom_spread_config_new(
    const struct loom_spread_config_options *);

/* Returns the gossip protocol, for loom_spread_is_ready() and
 * loom_spread_status().  Borrowed. */
struct loom_spread *loom_spread_config_spread(struct loom_spread_config *);

#endif
