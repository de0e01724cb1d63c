#ifndef LOOM_SPREAD_STORE_H
#define LOOM_SPREAD_STORE_H

/*
 * The newest version of each value, and digests over all of them by which two
 * stores are compared in few bytes.
 */

#include "control/spread_wire.h"
#include "loom/spread.h"

struct spread_store;

/* ops and arg are borrowed; they release the items' objects. */
struct spread_store *spread_store_new(
    TALLOC_CTX *mem_ctx, const struct loom_spread_ops *ops, void *arg);

struct loom_spread_item *spread_store_find(
    const struct spread_store *, uint64_t id);

/*
 * Keep a version if it is newer than the one held.  text is copied; object is
 * taken over when true is returned, else it stays the caller's.
 */
bool spread_store_put(struct spread_store *, enum loom_spread_kind,
    const char *name, const struct loom_spread_version *, const char *text,
    size_t len, void *object, uint64_t now_us);

/* All items of a kind; a GPtrArray owned by the caller, items borrowed. */
GPtrArray *spread_store_items(
    const struct spread_store *, enum loom_spread_kind);

/* Over all versions; 0 for an empty store. */
uint64_t spread_store_root(const struct spread_store *);
/* SPREAD_NBUCKETS digests, borrowed. */
const uint64_t *spread_store_buckets(const struct spread_store *);

/* The ids of the buckets in mask, appended to a GArray of struct spread_id. */
void spread_store_list(const struct spread_store *, uint64_t mask, GArray *ids);

/* The ids that came at since_us or later, at most max, newest first. */
uint32_t spread_store_recent(const struct spread_store *, uint64_t since_us,
    struct spread_id *out, uint32_t max);

struct spread_id spread_id_of(const struct loom_spread_item *);
/* Below 0, 0, above 0 as the held version is older than, the same as, newer
 * than id; a version not held is older. */
int spread_store_compare(
    const struct spread_store *, const struct spread_id *id);

#endif
