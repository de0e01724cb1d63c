#ifndef LOOM_DECIDE_TICKET_WINDOWS_H
#define LOOM_DECIDE_TICKET_WINDOWS_H

/*
 * The windows of one shard, by issuer and team.
 */

#include <glib.h>

#include "decide/ticket_window.h"
#include "loom/result.h"

struct ticket_windows {
	void *ctx; /* talloc; owns the windows */
	GHashTable *table;
	uint32_t capacity; /* windows that we issue from ourselves */
};

void ticket_windows_init(struct ticket_windows *, uint32_t capacity);
void ticket_windows_clear(struct ticket_windows *);

/* Borrowed; NULL when there is none. */
struct ticket_window *ticket_windows_find(
    struct ticket_windows *, uint64_t incarnation, uint64_t team_id);

/* LOOM_OK with *first set, or LOOM_OVERLOAD: too many teams. */
enum loom_result ticket_windows_issue(struct ticket_windows *,
    uint64_t incarnation, uint64_t team_id, uint32_t count, uint64_t *first);

/* Take over a window.  One that is known already stays. */
void ticket_windows_put(struct ticket_windows *, uint64_t incarnation,
    uint64_t team_id, const struct ticket_window *);

void ticket_windows_each(struct ticket_windows *,
    void (*each)(void *arg, uint64_t incarnation, uint64_t team_id,
	const struct ticket_window *),
    void *arg);

/* Forget all windows of an issuer. */
void ticket_windows_forget(struct ticket_windows *, uint64_t incarnation);

/* Ids are hashes or random; this spreads sums of them. */
guint ticket_fold_hash(uint64_t value);

#endif
