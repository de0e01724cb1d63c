#ifndef LOOM_TRACE_TALLY_H
#define LOOM_TRACE_TALLY_H

/*
 * Counts calls in the daemons' logs by stage, service, scope and how they
 * ended, optionally for each second.
 */

#include <glib.h>
#include <stdbool.h>

struct call_tally;

/* With by_second, each second of the log gets its own rows. */
struct call_tally *call_tally_new(bool by_second); /* owned */
void call_tally_free(struct call_tally *);

/* Adds one log line; any prefix before its JSON is skipped.  Returns false,
 * and counts nothing, if its event is not "call". */
bool call_tally_add_line(struct call_tally *, const char *line);

/*
 * Formats the counts as tab-separated columns below a header line.  Rows are
 * sorted by time if by_second is set, else by count with the highest first.
 * "scope" is known only at an entry: "root" for a request from outside,
 * "inner" for a call made by an upstream.  "waiting" is the maximum number of
 * waiting calls and "share" the minimum admitted share in the log lines of the
 * row.  Owned by the caller, g_free.
 */
char *call_tally_table(const struct call_tally *);

#endif
