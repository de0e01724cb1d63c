#ifndef LOOM_DECIDE_TICKET_WINDOWS_H
#define LOOM_DECIDE_TICKET_WINDOWS_H

/*
 * The ticket windows of one shard, by issuer and team.
 */

#include <glib.h>

#include "decide/ticket_window.h"
#include "loom/result.h"

struct ticket_windows {
	void *ctx; /* talloc context that owns the windows */
	GHashTable *table;
	uint32_t capacity; /* maximum number of windows of own issue */
};

void ticket_windows_init(struct ticket_windows *, uint32_t capacity);
void ticket_windows_clear(struct ticket_windows *);

/* Borrowed; NULL if there is none. */
struct ticket_window *ticket_windows_find(
    struct ticket_windows *, uint64_t incarnation, uint64_t team_id);

/* Returns LOOM_OK with *first set, or LOOM_OVERLOAD for too many teams. */
enum loom_result ticket_windows_issue(struct ticket_windows *,
    uint64_t incarnation, uint64_t team_id, uint32_t count, uint64_t *first);

/*
 * Imports a window from another executor.  A window that exists already is
 * kept.
 */
void ticket_windows_import(struct ticket_windows *, uint64_t incarnation,
    uint64_t team_id, const struct ticket_window *);

void ticket_windows_foreach(struct ticket_windows *,
    void (*callback)(void *arg, uint64_t incarnation, uint64_t team_id,
	const struct ticket_window *),
    void *arg);

/* Removes all windows of an issuer. */
void ticket_windows_remove_issuer(
    struct ticket_windows *, uint64_t incarnation);

/*
 * Hashes an id or the XOR of two.  Ids are random or hashes already; this mixes
 * their bits.
 */
guint ticket_hash_id(uint64_t value);

#endif
