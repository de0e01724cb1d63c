#ifndef LOOM_TRACE_TALLY_H
#define LOOM_TRACE_TALLY_H

/*
 * Calls counted by how they ended, from daemons' log lines: which refusals,
 * where, in which second.
 */

#include <glib.h>
#include <stdbool.h>

struct call_tally;

/* With by_second each second of the log has rows of its own. */
struct call_tally *call_tally_new(bool by_second); /* owned */
void call_tally_free(struct call_tally *);

/* Take one line of a log, whatever stands before its JSON.  Returns false for
 * lines that are no "call" line. */
bool call_tally_add_line(struct call_tally *, const char *line);

/*
 * Rows of columns that tabs separate, under a head: with by_second by time,
 * else the most frequent first.  "scope" is, at entries, "root" for a caller's
 * request and "inner" for a call that an upstream made; "waiting" and "share"
 * are the most calls that waited, and the least share, that a line of the row
 * tells.  Owned by the caller, g_free.
 */
char *call_tally_table(const struct call_tally *);

#endif
