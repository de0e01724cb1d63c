/*
 * Checks claims against the ledgers of the upstreams.
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load/ledger.h"

enum column {
	COLUMN_EVENT,
	COLUMN_ID,
	COLUMN_METHOD,
	COLUMN_PATH,
	COLUMNS,
};

struct load_ledger {
	GHashTable *started_ids; /* set of "ID" */
	GHashTable *done; /* set of "REQUEST METHOD PATH" */
	GHashTable *start_counts; /* "REQUEST METHOD PATH": guint */
	uint64_t total_starts;
};

struct load_ledger *
load_ledger_new(void)
{
	struct load_ledger *ledger = g_new0(struct load_ledger, 1);

	ledger->started_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->start_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ledger;
}

void
load_ledger_free(struct load_ledger *ledger)
{
	g_hash_table_destroy(ledger->started_ids);
	g_hash_table_destroy(ledger->done);
	g_hash_table_destroy(ledger->start_counts);
	g_free(ledger);
}

/* Returns REQUEST of an id "REQUEST.PART".  Owned. */
static char *
copy_request_id(const char *id)
{
	const char *dot = strrchr(id, '.');

	return dot != NULL ? g_strndup(id, (gsize)(dot - id)) : g_strdup(id);
}

/* Formats "REQUEST METHOD PATH" without the query, which ledgers leave out.
 * Owned. */
static char *
format_run_key(const char *id, const char *method, const char *path)
{
	char *request = copy_request_id(id);
	char *key = g_strdup_printf(
	    "%s %s %.*s", request, method, (int)strcspn(path, "?"), path);

	g_free(request);
	return key;
}

/* Takes ownership of key. */
static void
add_start(struct load_ledger *ledger, const char *id, char *key)
{
	guint *count = g_hash_table_lookup(ledger->start_counts, key);

	ledger->total_starts++;
	g_hash_table_add(ledger->started_ids, g_strdup(id));
	if (count == NULL) {
		count = g_new0(guint, 1);
		g_hash_table_insert(ledger->start_counts, key, count);
	} else {
		g_free(key);
	}
	(*count)++;
}

void
load_ledger_add_line(struct load_ledger *ledger, const char *line)
{
	char **columns = g_strsplit_set(line, " \n", -1);
	char *key;

	if (g_strv_length(columns) < COLUMNS || columns[COLUMN_ID][0] == '\0') {
		g_strfreev(columns);
		return;
	}
	key = format_run_key(
	    columns[COLUMN_ID], columns[COLUMN_METHOD], columns[COLUMN_PATH]);
	if (strcmp(columns[COLUMN_EVENT], "start") == 0)
		add_start(ledger, columns[COLUMN_ID], key);
	else if (strcmp(columns[COLUMN_EVENT], "done") == 0)
		g_hash_table_add(ledger->done, key);
	else
		g_free(key);
	g_strfreev(columns);
}

bool
load_ledger_read(struct load_ledger *ledger, const char *file, GError **error)
{
	FILE *stream = fopen(file, "r");
	char *line = NULL;
	size_t size = 0;

	if (stream == NULL)
		return loom_set_error(error, LOOM_FILE_UNREADABLE, "%s: %s",
		    file, g_strerror(errno));
	while (getline(&line, &size, stream) >= 0)
		load_ledger_add_line(ledger, line);
	free(line);
	fclose(stream);
	return true;
}

uint64_t
load_ledger_starts(const struct load_ledger *ledger)
{
	return ledger->total_starts;
}

static void
add_violation(GArray *list, enum load_violation_kind kind, const char *text)
{
	struct load_violation violation = {
		.kind = kind,
		.text = g_strdup(text),
	};

	g_array_append_val(list, violation);
}

static void
check_claim(const struct load_ledger *ledger, const struct load_claim *claim,
    GArray *list)
{
	char *key = format_run_key(claim->id, claim->method, claim->path);

	/* With a ticket, the answer may be a stored one of an earlier attempt.
	 * Therefore any part of the request may have done it. */
	if (claim->answered) {
		if (!g_hash_table_contains(ledger->done, key))
			add_violation(
			    list, LOAD_VIOLATION_ANSWER_MISSING, claim->id);
	} else if (claim->outcome == LOOM_OUTCOME_NOT_RUN &&
	    g_hash_table_contains(ledger->started_ids, claim->id)) {
		add_violation(list, LOAD_VIOLATION_NOT_RUN_RAN, claim->id);
	}
	g_free(key);
}

/* Whether the route of a run key is in the list once. */
static bool
is_at_most_once(const char *key, const char *const *once)
{
	const char *route = strchr(key, ' ') + 1;

	for (; *once != NULL; once++) {
		if (strcmp(route, *once) == 0)
			return true;
	}
	return false;
}

/* Returns the set of requests that have claims.  Owned. */
static GHashTable *
claimed_requests(const GArray *claims)
{
	GHashTable *requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < claims->len; i++)
		g_hash_table_add(requests,
		    copy_request_id(
			g_array_index(claims, struct load_claim, i).id));
	return requests;
}

/* Finds requests that were started more often than once.  A ledger may contain
 * other runs too, so requests without claims are ignored. */
static void
check_starts(const struct load_ledger *ledger, const GArray *claims,
    const char *const *once, GArray *list)
{
	GHashTable *requests = claimed_requests(claims);
	GHashTableIter iter;
	void *key, *count;
	char *request;

	g_hash_table_iter_init(&iter, ledger->start_counts);
	while (g_hash_table_iter_next(&iter, &key, &count)) {
		if (*(const guint *)count <= 1 || !is_at_most_once(key, once))
			continue;
		request = g_strndup(key, strcspn(key, " "));
		if (g_hash_table_contains(requests, request))
			add_violation(list, LOAD_VIOLATION_RAN_TWICE, key);
		g_free(request);
	}
	g_hash_table_destroy(requests);
}

GArray *
load_ledger_check(const struct load_ledger *ledger, const GArray *claims,
    const char *const *once)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct load_violation));
	guint i;

	for (i = 0; i < claims->len; i++)
		check_claim(
		    ledger, &g_array_index(claims, struct load_claim, i), list);
	check_starts(ledger, claims, once, list);
	return list;
}

void
load_violations_free(GArray *list)
{
	guint i;

	for (i = 0; i < list->len; i++)
		g_free(g_array_index(list, struct load_violation, i).text);
	g_array_free(list, TRUE);
}

const char *
load_violation_name(enum load_violation_kind kind)
{
	static const char *const names[LOAD_VIOLATION_KINDS] = {
		[LOAD_VIOLATION_NOT_RUN_RAN] = "not-run-ran",
		[LOAD_VIOLATION_RAN_TWICE] = "ran-twice",
		[LOAD_VIOLATION_ANSWER_MISSING] = "answer-missing",
	};

	return names[kind];
}
