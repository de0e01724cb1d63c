#ifndef LOOM_SPREAD_H
#define LOOM_SPREAD_H

/*
 * Gossip protocol that distributes each signed document and each host list, in
 * its newest version, to every daemon (docs/design/spread.md).
 *
 * It runs on the control thread and knows neither JSON nor signatures nor the
 * platform's protocol: its owner checks values, combines and applies them, and
 * reads the platform, through struct loom_spread_ops.
 */

#include <glib.h>
#include <talloc.h>

#include "loom/age.h"
#include "loom/clock.h"
#include "loom/control.h"
#include "loom/spread_policy.h"

#define LOOM_SPREAD_NAME_MAX 255
/* Default for within_us: the time in which a change that the platform
 * acknowledged is in effect on every daemon. */
#define LOOM_SPREAD_WITHIN_DEFAULT_US (11 * LOOM_US_PER_S)
/* Returns the timing for such a bound; 0 for LOOM_SPREAD_WITHIN_DEFAULT_US. */
struct loom_age_timing loom_spread_timing(uint64_t within_us);
/* The longest text of a value, in bytes.  A platform's largest value, of a
 * megabyte, may become several times as long in translation. */
#define LOOM_SPREAD_TEXT_MAX LOOM_DOCUMENT_UNSIGNED_BYTES_MAX

enum loom_spread_kind {
	LOOM_SPREAD_MANIFEST, /* "manifest/..." */
	LOOM_SPREAD_HOSTS, /* "hosts/..." */
	LOOM_SPREAD_KINDS,
};

/* A value in the newest version that this daemon holds. */
struct loom_spread_item {
	uint64_t id; /* loom_name_id(name) */
	char *name; /* owned, with its prefix */
	enum loom_spread_kind kind;
	struct loom_spread_version version;
	char *text; /* owned */
	size_t len;
	char *compressed; /* owned; NULL until it is first sent */
	size_t compressed_len;
	void *object; /* owned: what check() returned */
	uint64_t received_us; /* when this version arrived */
	uint64_t applied_number; /* the version in effect; 0 for none */
	uint64_t applied_digest; /* first 8 bytes */
	uint64_t applied_us;
};

struct loom_spread_ops {
	/*
	 * Checks a copy from the platform or a peer.  On entry version->number
	 * is the number that came with it, for a host list its revision; a
	 * document's own version replaces it.  On success the digest is set and
	 * *object belongs to the gossip protocol, which frees it with
	 * release().
	 */
	bool (*check)(void *arg, enum loom_spread_kind, const char *name,
	    const char *text, size_t len, struct loom_spread_version *version,
	    void **object, GError **error);
	void (*release)(void *arg, enum loom_spread_kind, void *object);
	/* Combines all items of a kind and puts them into effect.  Returns
	 * false if the set is rejected; nothing in effect has changed then. */
	bool (*apply)(void *arg, enum loom_spread_kind,
	    const struct loom_spread_item *const *items, uint32_t n,
	    uint64_t now_us);
	/* Starts or stops watching the platform. */
	void (*watch)(void *arg, bool on);
	/* Reads the platform once. */
	void (*fetch)(void *arg);
};

struct loom_spread_options {
	struct loom_self self; /* strings borrowed */
	struct loom_sender sender; /* arg borrowed */
	struct loom_random random; /* arg borrowed */
	const uint64_t *seeds; /* hosts to query at the start; copied */
	uint32_t nseeds;
	uint64_t within_us; /* 0 for LOOM_SPREAD_WITHIN_DEFAULT_US */
	bool platform_is_current; /* its answer alone is enough to start */
};

struct loom_spread;

/* Owned by mem_ctx; ops and arg are borrowed. */
struct loom_spread *loom_spread_new(TALLOC_CTX *mem_ctx,
    const struct loom_spread_options *, const struct loom_spread_ops *,
    void *arg, uint64_t now_us);

/* For loom_control_add(), with a struct loom_spread as the part. */
extern const struct loom_component_ops loom_spread_part;

/* Passes in a value that the platform answered with.  Control thread. */
void loom_spread_platform_value(struct loom_spread *, const char *name,
    uint64_t revision, const char *text, size_t len, uint64_t now_us);
/* Records that a call to the platform, begun at sent_us, has been answered and
 * its values passed in.  Control thread. */
void loom_spread_platform_answered(struct loom_spread *, enum loom_spread_kind,
    uint64_t sent_us, uint64_t now_us);

/* Returns the age of what is held (loom/age.h); UINT64_MAX before the first
 * answer of the platform or proof by a peer.  Control thread. */
uint64_t loom_spread_age_us(const struct loom_spread *, uint64_t now_us);

/* Whether this daemon may serve; stays true once it is.  Any thread. */
bool loom_spread_is_ready(const struct loom_spread *);

/*
 * Returns what is in effect as JSON text, to be freed with g_free(): name,
 * version, digest prefix and age in milliseconds of each value, and the version
 * held if it is not the one in effect.  Any thread.
 */
char *loom_spread_status(struct loom_spread *, uint64_t now_us);

/* Returns the value held under a name, borrowed, or NULL.  Control thread. */
const struct loom_spread_item *loom_spread_find(
    const struct loom_spread *, const char *name);

#endif
