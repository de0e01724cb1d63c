#ifndef LOOM_SPREAD_STORE_H
#define LOOM_SPREAD_STORE_H

/* The newest version of each value, and digests of them by which two daemons
 * compare their stores in few bytes. */

#include "control/spread_wire.h"
#include "loom/spread.h"

struct spread_store;

/* ops and arg are borrowed and used to release the items' objects. */
struct spread_store *spread_store_new(
    TALLOC_CTX *mem_ctx, const struct loom_spread_ops *ops, void *arg);

struct loom_spread_item *spread_store_find(
    const struct spread_store *, uint64_t id);

/*
 * Stores a version if it is newer than the one held, and returns whether it
 * was.  text is copied; object belongs to the store if true is returned and
 * stays the caller's if not.
 */
bool spread_store_put(struct spread_store *, enum loom_spread_kind,
    const char *name, const struct loom_spread_version *, const char *text,
    size_t len, void *object, uint64_t now_us);

/* Returns all items of a kind in a GPtrArray that the caller frees; the items
 * are borrowed. */
GPtrArray *spread_store_items(
    const struct spread_store *, enum loom_spread_kind);

/* Returns the digest of all versions held; 0 for an empty store. */
uint64_t spread_store_root(const struct spread_store *);
/* Returns the SPREAD_NBUCKETS bucket digests, borrowed. */
const uint64_t *spread_store_buckets(const struct spread_store *);

/* Appends the ids of the buckets in mask to a GArray of struct spread_id. */
void spread_store_list(const struct spread_store *, uint64_t mask, GArray *ids);

/* Writes the ids that arrived at since_us or later, newest first and at most
 * max; returns their number. */
uint32_t spread_store_recent(const struct spread_store *, uint64_t since_us,
    struct spread_id *out, uint32_t max);

struct spread_id spread_id_of(const struct loom_spread_item *);
/* Returns below 0, 0 or above 0 if the version held is older than, the same as
 * or newer than id; a name that is not held counts as older. */
int spread_store_compare(
    const struct spread_store *, const struct spread_id *id);

#endif
