/*
 * Counts calls by how they ended.
 *
 * Callers see only 500 and 503 in an overload, whatever its cause.  The
 * daemons' log lines tell which service refused a call, for which reason, and
 * whether the call was made on behalf of a request that had already been
 * admitted.  Refusing such a call wastes the work of the whole request.
 */

#include <json-c/json.h>
#include <string.h>

#include "loom/json.h"
#include "trace/tally.h"

/* Length of "2026-01-02T03:04:05", the time of a log line to the second. */
#define SECOND_CHARS 19
/* The admitted share for a line that names none: all calls. */
#define DEFAULT_SHARE 1.0

struct row {
	char *key; /* owned: the leading columns as printed */
	uint64_t calls;
	int64_t max_waiting;
	double min_share;
};

struct call_tally {
	bool by_second;
	GHashTable *rows; /* row key: struct row, owned */
};

static void
row_free(gpointer data)
{
	struct row *row = data;

	g_free(row->key);
	g_free(row);
}

struct call_tally *
call_tally_new(bool by_second)
{
	struct call_tally *tally = g_new0(struct call_tally, 1);

	tally->by_second = by_second;
	tally->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	return tally;
}

void
call_tally_free(struct call_tally *tally)
{
	g_hash_table_destroy(tally->rows);
	g_free(tally);
}

static const char *
get_string(struct json_object *line, const char *name, const char *fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(line, name, &member) ||
	    !json_object_is_type(member, json_type_string))
		return fallback;
	return json_object_get_string(member);
}

static double
get_number(struct json_object *line, const char *name, double fallback)
{
	struct json_object *member;

	if (!json_object_object_get_ex(line, name, &member) ||
	    json_object_is_type(member, json_type_null))
		return fallback;
	return json_object_get_double(member);
}

static bool
get_boolean(struct json_object *line, const char *name)
{
	struct json_object *member;

	return json_object_object_get_ex(line, name, &member) &&
	    json_object_get_boolean(member);
}

/* The result of a refusal, the status of an answer, else the "end".  Owned. */
static char *
format_ending(struct json_object *line)
{
	const char *end = get_string(line, "end", "-");
	const char *result = get_string(line, "result", NULL);

	if (result != NULL)
		return g_strdup(result);
	if (strcmp(end, "answered") == 0)
		return g_strdup_printf(
		    "%d", (int)get_number(line, "status", 0));
	return g_strdup(end);
}

/* Only the entry's lines tell whether a caller or an upstream made the call. */
static const char *
call_scope(struct json_object *line)
{
	if (strcmp(get_string(line, "stage", "-"), "entry") != 0)
		return "-";
	return get_boolean(line, "inner") ? "inner" : "root";
}

/* The columns that identify the row of a log line.  Owned. */
static char *
format_row_key(const struct call_tally *tally, struct json_object *line)
{
	const char *time = get_string(line, "time", "");
	char *ending = format_ending(line);
	GString *key = g_string_new(NULL);

	if (tally->by_second)
		g_string_append_printf(key, "%.*s\t", SECOND_CHARS, time);
	g_string_append_printf(key, "%s\t%s\t%s\t%s",
	    get_string(line, "stage", "-"), get_string(line, "service", "-"),
	    call_scope(line), ending);
	g_free(ending);
	return g_string_free(key, FALSE);
}

static struct row *
get_or_add_row(struct call_tally *tally, struct json_object *line)
{
	char *key = format_row_key(tally, line);
	struct row *row = g_hash_table_lookup(tally->rows, key);

	if (row != NULL) {
		g_free(key);
		return row;
	}
	row = g_new0(struct row, 1);
	row->key = key;
	row->min_share = DEFAULT_SHARE;
	g_hash_table_insert(tally->rows, row->key, row);
	return row;
}

static void
count_call(struct call_tally *tally, struct json_object *line)
{
	struct row *row = get_or_add_row(tally, line);
	double share = DEFAULT_SHARE;

	row->calls++;
	row->max_waiting =
	    MAX(row->max_waiting, (int64_t)get_number(line, "waiting", 0));
	if (get_string(line, "below", NULL) != NULL)
		share = get_number(line, "below_share", DEFAULT_SHARE);
	row->min_share = MIN(row->min_share, share);
}

bool
call_tally_add_line(struct call_tally *tally, const char *line)
{
	const char *text = strchr(line, '{');
	struct json_object *object;
	const char *message;
	unsigned at;
	bool is_call;

	if (text == NULL)
		return false;
	object = loom_json_parse(text, strlen(text), &at, &message);
	is_call = object != NULL &&
	    json_object_is_type(object, json_type_object) &&
	    strcmp(get_string(object, "event", ""), "call") == 0;
	if (is_call)
		count_call(tally, object);
	json_object_put(object);
	return is_call;
}

static gint
compare_by_key(gconstpointer a, gconstpointer b)
{
	const struct row *left = a, *right = b;

	return strcmp(left->key, right->key);
}

/* More calls first. */
static gint
compare_by_calls(gconstpointer a, gconstpointer b)
{
	const struct row *left = a, *right = b;

	if (left->calls != right->calls)
		return left->calls > right->calls ? -1 : 1;
	return compare_by_key(a, b);
}

char *
call_tally_table(const struct call_tally *tally)
{
	GList *rows = g_hash_table_get_values(tally->rows), *at;
	GString *table = g_string_new(tally->by_second ? "second\t" : "");
	const struct row *row;

	g_string_append(
	    table, "stage\tservice\tscope\tending\tcalls\twaiting\tshare\n");
	rows = g_list_sort(
	    rows, tally->by_second ? compare_by_key : compare_by_calls);
	for (at = rows; at != NULL; at = at->next) {
		row = at->data;
		g_string_append_printf(table,
		    "%s\t%" G_GUINT64_FORMAT "\t%" G_GINT64_FORMAT "\t%.3f\n",
		    row->key, (guint64)row->calls, (gint64)row->max_waiting,
		    row->min_share);
	}
	g_list_free(rows);
	return g_string_free(table, FALSE);
}
