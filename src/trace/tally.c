/*
 * Calls by how they ended.
 *
 * A burst in which everything fails looks the same from outside whatever its
 * cause: callers see 500 and 503.  The lines of the daemons tell at which
 * service a call was refused, for what, and whether it was a call inside a
 * request that had been let in, which costs its whole chain.
 */

#include <json-c/json.h>
#include <string.h>

#include "loom/json.h"
#include "trace/tally.h"

/* "2026-01-02T03:04:05": a line's time to the second. */
#define SECOND_CHARS 19
#define NO_SHARE 1.0

struct row {
	char *key; /* owned: the row's first columns as they are printed */
	uint64_t calls;
	int64_t waiting; /* the most */
	double share; /* the least */
};

struct call_tally {
	bool by_second;
	GHashTable *rows; /* key: struct row, owned */
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
text_of(struct json_object *line, const char *name, const char *otherwise)
{
	struct json_object *member;

	if (!json_object_object_get_ex(line, name, &member) ||
	    !json_object_is_type(member, json_type_string))
		return otherwise;
	return json_object_get_string(member);
}

static double
number_of(struct json_object *line, const char *name, double otherwise)
{
	struct json_object *member;

	if (!json_object_object_get_ex(line, name, &member) ||
	    json_object_is_type(member, json_type_null))
		return otherwise;
	return json_object_get_double(member);
}

static bool
is_true(struct json_object *line, const char *name)
{
	struct json_object *member;

	return json_object_object_get_ex(line, name, &member) &&
	    json_object_get_boolean(member);
}

/* A refusal by its result, an answer by its status. */
static char *
ending_of(struct json_object *line)
{
	const char *end = text_of(line, "end", "-");
	const char *result = text_of(line, "result", NULL);

	if (result != NULL)
		return g_strdup(result);
	if (strcmp(end, "answered") == 0)
		return g_strdup_printf("%d", (int)number_of(line, "status", 0));
	return g_strdup(end);
}

/* Only the entry of a call knows whose it is. */
static const char *
scope_of(struct json_object *line)
{
	if (strcmp(text_of(line, "stage", "-"), "entry") != 0)
		return "-";
	return is_true(line, "inner") ? "inner" : "root";
}

static char *
key_of(const struct call_tally *tally, struct json_object *line)
{
	const char *time = text_of(line, "time", "");
	char *ending = ending_of(line);
	GString *key = g_string_new(NULL);

	if (tally->by_second)
		g_string_append_printf(key, "%.*s\t", SECOND_CHARS, time);
	g_string_append_printf(key, "%s\t%s\t%s\t%s",
	    text_of(line, "stage", "-"), text_of(line, "service", "-"),
	    scope_of(line), ending);
	g_free(ending);
	return g_string_free(key, FALSE);
}

static struct row *
row_of(struct call_tally *tally, struct json_object *line)
{
	char *key = key_of(tally, line);
	struct row *row = g_hash_table_lookup(tally->rows, key);

	if (row != NULL) {
		g_free(key);
		return row;
	}
	row = g_new0(struct row, 1);
	row->key = key;
	row->share = NO_SHARE;
	g_hash_table_insert(tally->rows, row->key, row);
	return row;
}

static void
count(struct call_tally *tally, struct json_object *line)
{
	struct row *row = row_of(tally, line);
	double share = NO_SHARE;

	row->calls++;
	row->waiting =
	    MAX(row->waiting, (int64_t)number_of(line, "waiting", 0));
	if (text_of(line, "below", NULL) != NULL)
		share = number_of(line, "below_share", NO_SHARE);
	row->share = MIN(row->share, share);
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
	    strcmp(text_of(object, "event", ""), "call") == 0;
	if (is_call)
		count(tally, object);
	json_object_put(object);
	return is_call;
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
	const struct row *left = a, *right = b;

	return strcmp(left->key, right->key);
}

static gint
by_calls(gconstpointer a, gconstpointer b)
{
	const struct row *left = a, *right = b;

	if (left->calls != right->calls)
		return left->calls > right->calls ? -1 : 1;
	return by_key(a, b);
}

char *
call_tally_table(const struct call_tally *tally)
{
	GList *rows = g_hash_table_get_values(tally->rows), *at;
	GString *table = g_string_new(tally->by_second ? "second\t" : "");
	const struct row *row;

	g_string_append(
	    table, "stage\tservice\tscope\tending\tcalls\twaiting\tshare\n");
	rows = g_list_sort(rows, tally->by_second ? by_key : by_calls);
	for (at = rows; at != NULL; at = at->next) {
		row = at->data;
		g_string_append_printf(table,
		    "%s\t%" G_GUINT64_FORMAT "\t%" G_GINT64_FORMAT "\t%.3f\n",
		    row->key, (guint64)row->calls, (gint64)row->waiting,
		    row->share);
	}
	g_list_free(rows);
	return g_string_free(table, FALSE);
}
