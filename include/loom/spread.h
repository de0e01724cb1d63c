#ifndef LOOM_SPREAD_H
#define LOOM_SPREAD_H

/*
 * The spread of versions: the part that brings each signed document and each
 * host list to every daemon, newest version only (docs/design/spread.md).
 *
 * It runs on the control thread and knows neither JSON nor signatures nor
 * the platform's protocol: the owner checks copies, joins them and reads the
 * platform, through struct loom_spread_ops.
 */

#include <glib.h>
#include <talloc.h>

#include "loom/age.h"
#include "loom/clock.h"
#include "loom/control.h"
#include "loom/spread_policy.h"

#define LOOM_SPREAD_NAME_MAX 255
/* A change that the platform acknowledged is in force everywhere so soon,
 * unless the settings say otherwise. */
#define LOOM_SPREAD_WITHIN_US (11 * LOOM_US_PER_S)
/* The times that follow from such a bound, 0 for LOOM_SPREAD_WITHIN_US. */
struct loom_age_plan loom_spread_plan(uint64_t within_us);
/* The largest value, in bytes: what the platform holds. */
#define LOOM_SPREAD_TEXT_MAX UINT32_C(1000000)

enum loom_spread_kind {
	LOOM_SPREAD_MANIFEST, /* "manifest/..." */
	LOOM_SPREAD_HOSTS, /* "hosts/..." */
	LOOM_SPREAD_KINDS,
};

/* One value, in its newest version known here. */
struct loom_spread_item {
	uint64_t id; /* loom_name_id(name) */
	char *name; /* owned, with its prefix */
	enum loom_spread_kind kind;
	struct loom_spread_version version;
	char *text; /* owned */
	size_t len;
	void *object; /* owned: what check() made of it */
	uint64_t since_us; /* when this version came */
	uint64_t force_number; /* the version in force; 0 for none */
	uint64_t force_digest; /* first 8 bytes */
	uint64_t force_since_us;
};

struct loom_spread_ops {
	/*
	 * Check a copy, from the platform or a peer.  version->number holds
	 * the number that came with it, a host list's revision; a document's
	 * own version replaces it.  On success the digest is set and *object
	 * is owned by the part.
	 */
	bool (*check)(void *arg, enum loom_spread_kind, const char *name,
	    const char *text, size_t len, struct loom_spread_version *version,
	    void **object, GError **error);
	void (*release)(void *arg, enum loom_spread_kind, void *object);
	/* Join all items of a kind and put them in force.  False when the set
	 * is refused: then nothing in force changes. */
	bool (*apply)(void *arg, enum loom_spread_kind,
	    const struct loom_spread_item *const *items, uint32_t n,
	    uint64_t now_us);
	/* Watch the platform, or stop. */
	void (*watch)(void *arg, bool on);
	/* Ask the platform once. */
	void (*fetch)(void *arg);
};

struct loom_spread_options {
	struct loom_self self; /* strings borrowed */
	struct loom_sender sender; /* arg borrowed */
	struct loom_random random; /* arg borrowed */
	const uint64_t *seeds; /* host ids to ask at the start; copied */
	uint32_t nseeds;
	uint64_t within_us; /* 0 for LOOM_SPREAD_WITHIN_US */
	bool platform_is_current; /* its word alone is enough to start by */
};

struct loom_spread;

/* Owned by mem_ctx; ops and arg are borrowed. */
struct loom_spread *loom_spread_new(TALLOC_CTX *mem_ctx,
    const struct loom_spread_options *, const struct loom_spread_ops *,
    void *arg, uint64_t now_us);

/* For loom_control_add(), with the spread as the part. */
extern const struct loom_part_ops loom_spread_part;

/* What the platform said; control thread. */
void loom_spread_platform_value(struct loom_spread *, const char *name,
    uint64_t revision, const char *text, size_t len, uint64_t now_us);
/* sent_us is when the call was begun that is answered. */
void loom_spread_platform_answered(struct loom_spread *, enum loom_spread_kind,
    uint64_t sent_us, uint64_t now_us);

/* How old what is held is (loom/age.h); UINT64_MAX before the first word.
 * Control thread. */
uint64_t loom_spread_age_us(const struct loom_spread *, uint64_t now_us);

/* May this daemon serve?  Once true it stays so.  Any thread. */
bool loom_spread_is_ready(const struct loom_spread *);

/*
 * What is in force, as JSON text owned by the caller (g_free): name, version,
 * digest prefix, age in milliseconds, and what is held but refused.  Any
 * thread.
 */
char *loom_spread_status(struct loom_spread *, uint64_t now_us);

/* The version held of a name; NULL for none.  Control thread; borrowed. */
const struct loom_spread_item *loom_spread_find(
    const struct loom_spread *, const char *name);

#endif
