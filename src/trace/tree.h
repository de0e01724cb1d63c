#ifndef LOOM_TRACE_TREE_H
#define LOOM_TRACE_TREE_H

/*
 * The spans of one request, joined into a tree and drawn as text.
 */

#include <glib.h>
#include <json-c/json.h>

struct span_tree;

struct span_tree *span_tree_new(void); /* owned */
void span_tree_free(struct span_tree *);

/*
 * Take one line: a daemon's log line with a span, an OTLP span, or an OTLP
 * export with many.  Lines of any other kind are passed over.  Returns how
 * many spans were taken.
 */
guint span_tree_add_line(struct span_tree *, const char *line);

/* The trace ids seen, each once, in the order of their first span; borrowed
 * strings in an array owned by the caller. */
GPtrArray *span_tree_traces(const struct span_tree *);

/*
 * Draw one trace: a line a span, indented below its parent, with total, queue
 * and leg times in milliseconds, status, code and outcome.  A span whose
 * parent was not seen stands at the left.  Owned by the caller, g_free.
 */
char *span_tree_draw(const struct span_tree *, const char *trace_id);

#endif
