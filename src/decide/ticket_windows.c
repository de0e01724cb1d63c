/*
 * Hash table of ticket windows, keyed by issuer and team.
 */

#include <string.h>
#include <talloc.h>

#include "decide/ticket_windows.h"

/*
 * Maximum number of windows, own and imported, as a multiple of the capacity
 * for own windows.
 */
#define TOTAL_WINDOWS_FACTOR 4

struct window_entry {
	uint64_t incarnation; /* key, with team_id; the first fields */
	uint64_t team_id;
	struct ticket_window window;
};

guint
ticket_hash_id(uint64_t value)
{
	value *= UINT64_C(0x9e3779b97f4a7c15);
	return (guint)(value >> 32);
}

static guint
entry_hash(gconstpointer key)
{
	const struct window_entry *entry = key;

	return ticket_hash_id(entry->incarnation ^ entry->team_id);
}

static gboolean
entry_equal(gconstpointer a, gconstpointer b)
{
	const struct window_entry *x = a, *y = b;

	return x->incarnation == y->incarnation && x->team_id == y->team_id;
}

static void
entry_free(gpointer entry)
{
	talloc_free(entry);
}

void
ticket_windows_init(struct ticket_windows *windows, uint32_t capacity)
{
	windows->ctx = talloc_new(NULL);
	windows->table =
	    g_hash_table_new_full(entry_hash, entry_equal, entry_free, NULL);
	windows->capacity = capacity;
}

void
ticket_windows_clear(struct ticket_windows *windows)
{
	g_hash_table_destroy(windows->table);
	talloc_free(windows->ctx);
}

struct ticket_window *
ticket_windows_find(
    struct ticket_windows *windows, uint64_t incarnation, uint64_t team_id)
{
	const struct window_entry key = {
		.incarnation = incarnation,
		.team_id = team_id,
	};
	struct window_entry *entry = g_hash_table_lookup(windows->table, &key);

	return entry != NULL ? &entry->window : NULL;
}

static struct ticket_window *
add(struct ticket_windows *windows, uint64_t incarnation, uint64_t team_id)
{
	struct window_entry *entry =
	    talloc_zero(windows->ctx, struct window_entry);

	entry->incarnation = incarnation;
	entry->team_id = team_id;
	g_hash_table_add(windows->table, entry);
	return &entry->window;
}

enum loom_result
ticket_windows_issue(struct ticket_windows *windows, uint64_t incarnation,
    uint64_t team_id, uint32_t count, uint64_t *first)
{
	struct ticket_window *window =
	    ticket_windows_find(windows, incarnation, team_id);

	if (window == NULL) {
		if (g_hash_table_size(windows->table) >= windows->capacity)
			return LOOM_OVERLOAD;
		window = add(windows, incarnation, team_id);
	}
	*first = ticket_window_issue(window, count);
	return LOOM_OK;
}

void
ticket_windows_import(struct ticket_windows *windows, uint64_t incarnation,
    uint64_t team_id, const struct ticket_window *window)
{
	if (ticket_windows_find(windows, incarnation, team_id) != NULL)
		return;
	/*
	 * Tickets whose window is dropped are answered as lost, which is safe.
	 * Without this bound a rolling replacement would accumulate the windows
	 * of all hosts on the last ones.
	 */
	if (g_hash_table_size(windows->table) >=
	    windows->capacity * TOTAL_WINDOWS_FACTOR)
		return;
	*add(windows, incarnation, team_id) = *window;
}

void
ticket_windows_foreach(struct ticket_windows *windows,
    void (*callback)(void *arg, uint64_t incarnation, uint64_t team_id,
	const struct ticket_window *),
    void *arg)
{
	const struct window_entry *entry;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, windows->table);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		entry = key;
		callback(
		    arg, entry->incarnation, entry->team_id, &entry->window);
	}
}

static gboolean
is_of_issuer(gpointer key, gpointer value, gpointer incarnation)
{
	const struct window_entry *entry = key;

	(void)value;
	return entry->incarnation == *(const uint64_t *)incarnation;
}

void
ticket_windows_remove_issuer(
    struct ticket_windows *windows, uint64_t incarnation)
{
	g_hash_table_foreach_remove(windows->table, is_of_issuer, &incarnation);
}
