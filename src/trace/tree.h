#ifndef LOOM_TRACE_TREE_H
#define LOOM_TRACE_TREE_H

/*
 * Builds the trees of spans of traced requests and draws them as text.
 */

#include <glib.h>
#include <json-c/json.h>

struct span_tree;

struct span_tree *span_tree_new(void); /* owned */
void span_tree_free(struct span_tree *);

/*
 * Adds the spans of one line: a daemon's log line with a span, an OTLP span,
 * or an OTLP export request with many.  Other lines are ignored.  Returns the
 * number of spans added.
 */
guint span_tree_add_line(struct span_tree *, const char *line);

/* Lists the distinct trace ids in the order of their first span.  The caller
 * owns the array; the strings are borrowed. */
GPtrArray *span_tree_traces(const struct span_tree *);

/*
 * Draws one trace, one line per span, indented below its parent, with total,
 * queue and leg times in milliseconds and the status, or the code and outcome
 * of a refusal.  A span whose parent is not in the logs is drawn as a root.
 * Owned by the caller, g_free.
 */
char *span_tree_draw(const struct span_tree *, const char *trace_id);

#endif
