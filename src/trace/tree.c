/*
 * Builds trees of spans.  A daemon logs a span when its call ends, so a child
 * precedes its parent in the log.  Therefore spans are only collected while
 * reading, and linked to their parents when a trace is drawn.
 */

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "trace/tree.h"

#define NS_PER_MS 1e6
#define US_PER_MS 1e3
#define INDENT 2
#define NAME_WIDTH 44

struct node {
	char *trace_id;
	char *span_id;
	char *parent_id; /* "" for none */
	char *label;
	double start_ns;
	double total_ms;
	double queue_ms;
	double leg_ms;
	char *result; /* status, or code and outcome of a refusal */
};

struct span_tree {
	GPtrArray *nodes; /* owned */
};

static void
free_node(gpointer data)
{
	struct node *node = data;

	g_free(node->trace_id);
	g_free(node->span_id);
	g_free(node->parent_id);
	g_free(node->label);
	g_free(node->result);
	g_free(node);
}

struct span_tree *
span_tree_new(void)
{
	struct span_tree *tree = g_new0(struct span_tree, 1);

	tree->nodes = g_ptr_array_new_with_free_func(free_node);
	return tree;
}

void
span_tree_free(struct span_tree *tree)
{
	g_ptr_array_free(tree->nodes, TRUE);
	g_free(tree);
}

static const char *
get_string(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value))
		return "";
	return json_object_get_string(value);
}

/* Returns the value of an attribute as text, "" when it is missing. */
static const char *
get_attribute(struct json_object *span, const char *name)
{
	struct json_object *list, *entry, *value;
	size_t i;

	if (!json_object_object_get_ex(span, "attributes", &list) ||
	    !json_object_is_type(list, json_type_array))
		return "";
	for (i = 0; i < json_object_array_length(list); i++) {
		entry = json_object_array_get_idx(list, i);
		if (strcmp(get_string(entry, "key"), name) != 0 ||
		    !json_object_object_get_ex(entry, "value", &value))
			continue;
		if (json_object_object_length(value) == 0)
			return "";
		json_object_object_foreach(value, kind, content)
		{
			(void)kind;
			return json_object_get_string(content);
		}
	}
	return "";
}

static char *
format_result(struct json_object *span)
{
	const char *code = get_attribute(span, "loom.code");

	if (code[0] == '\0')
		return g_strdup(
		    get_attribute(span, "http.response.status_code"));
	return g_strdup_printf(
	    "code %s %s", code, get_attribute(span, "loom.outcome"));
}

static bool
add_span(struct span_tree *tree, struct json_object *span)
{
	struct node *node;

	if (!json_object_is_type(span, json_type_object) ||
	    get_string(span, "traceId")[0] == '\0' ||
	    get_string(span, "spanId")[0] == '\0')
		return false;
	node = g_new0(struct node, 1);
	node->trace_id = g_strdup(get_string(span, "traceId"));
	node->span_id = g_strdup(get_string(span, "spanId"));
	node->parent_id = g_strdup(get_string(span, "parentSpanId"));
	node->label = g_strdup_printf("%s %s %s", get_string(span, "name"),
	    get_attribute(span, "loom.kind"), get_attribute(span, "loom.host"));
	node->start_ns = strtod(get_string(span, "startTimeUnixNano"), NULL);
	node->total_ms = (strtod(get_string(span, "endTimeUnixNano"), NULL) -
			     node->start_ns) /
	    NS_PER_MS;
	node->queue_ms =
	    strtod(get_attribute(span, "loom.queue_us"), NULL) / US_PER_MS;
	node->leg_ms =
	    strtod(get_attribute(span, "loom.leg_us"), NULL) / US_PER_MS;
	node->result = format_result(span);
	g_ptr_array_add(tree->nodes, node);
	return true;
}

/* Calls add for each element of the member name, if that is an array; returns
 * the number of spans added. */
static guint
add_each(struct span_tree *tree, struct json_object *object, const char *name,
    guint (*add)(struct span_tree *, struct json_object *))
{
	struct json_object *list;
	guint taken = 0;
	size_t i;

	if (!json_object_object_get_ex(object, name, &list) ||
	    !json_object_is_type(list, json_type_array))
		return 0;
	for (i = 0; i < json_object_array_length(list); i++)
		taken += add(tree, json_object_array_get_idx(list, i));
	return taken;
}

static guint
add_one_span(struct span_tree *tree, struct json_object *span)
{
	return add_span(tree, span) ? 1 : 0;
}

static guint
add_scope(struct span_tree *tree, struct json_object *scope)
{
	return add_each(tree, scope, "spans", add_one_span);
}

static guint
add_resource(struct span_tree *tree, struct json_object *resource)
{
	return add_each(tree, resource, "scopeSpans", add_scope);
}

guint
span_tree_add_line(struct span_tree *tree, const char *line)
{
	struct json_object *object = json_tokener_parse(line);
	struct json_object *span;
	guint taken;

	if (!json_object_is_type(object, json_type_object)) {
		json_object_put(object);
		return 0;
	}
	if (json_object_object_get_ex(object, "span", &span))
		taken = add_one_span(tree, span);
	else if (json_object_object_get_ex(object, "resourceSpans", NULL))
		taken = add_each(tree, object, "resourceSpans", add_resource);
	else
		taken = add_one_span(tree, object);
	json_object_put(object);
	return taken;
}

GPtrArray *
span_tree_traces(const struct span_tree *tree)
{
	GPtrArray *traces = g_ptr_array_new();
	const struct node *node;
	guint i;

	for (i = 0; i < tree->nodes->len; i++) {
		node = g_ptr_array_index(tree->nodes, i);
		if (!g_ptr_array_find_with_equal_func(
			traces, node->trace_id, g_str_equal, NULL))
			g_ptr_array_add(traces, node->trace_id);
	}
	return traces;
}

static gint
compare_by_start(gconstpointer a, gconstpointer b)
{
	const struct node *left = *(const struct node *const *)a;
	const struct node *right = *(const struct node *const *)b;

	return left->start_ns < right->start_ns
	    ? -1
	    : left->start_ns > right->start_ns;
}

/* Returns the nodes of a trace in the order of their start; owned. */
static GPtrArray *
trace_nodes(const struct span_tree *tree, const char *trace_id)
{
	GPtrArray *nodes = g_ptr_array_new();
	struct node *node;
	guint i;

	for (i = 0; i < tree->nodes->len; i++) {
		node = g_ptr_array_index(tree->nodes, i);
		if (strcmp(node->trace_id, trace_id) == 0)
			g_ptr_array_add(nodes, node);
	}
	g_ptr_array_sort(nodes, compare_by_start);
	return nodes;
}

static bool
has_parent(const GPtrArray *nodes, const struct node *node)
{
	const struct node *other;
	guint i;

	for (i = 0; i < nodes->len; i++) {
		other = g_ptr_array_index(nodes, i);
		if (other != node &&
		    strcmp(other->span_id, node->parent_id) == 0)
			return true;
	}
	return false;
}

/* Draws a node and its descendants.  The depth is bounded by the number of
 * nodes, because a malformed log can have spans that are parents of each other
 * and the recursion would not end. */
static void
draw_subtree(
    const GPtrArray *nodes, const struct node *node, guint depth, GString *text)
{
	const struct node *child;
	int width = NAME_WIDTH - (int)(depth * INDENT);
	guint i;

	g_string_append_printf(text,
	    "%*s%-*s %9.3f ms  queue %8.3f  leg %9.3f  %s\n",
	    (int)(depth * INDENT), "", MAX(width, 1), node->label,
	    node->total_ms, node->queue_ms, node->leg_ms, node->result);
	if (depth >= nodes->len)
		return;
	for (i = 0; i < nodes->len; i++) {
		child = g_ptr_array_index(nodes, i);
		if (child != node &&
		    strcmp(child->parent_id, node->span_id) == 0)
			draw_subtree(nodes, child, depth + 1, text);
	}
}

char *
span_tree_draw(const struct span_tree *tree, const char *trace_id)
{
	GString *text = g_string_new(NULL);
	GPtrArray *nodes = trace_nodes(tree, trace_id);
	const struct node *node;
	guint i;

	g_string_append_printf(text, "trace %s\n", trace_id);
	for (i = 0; i < nodes->len; i++) {
		node = g_ptr_array_index(nodes, i);
		if (!has_parent(nodes, node))
			draw_subtree(nodes, node, 0, text);
	}
	g_ptr_array_free(nodes, TRUE);
	return g_string_free(text, FALSE);
}
