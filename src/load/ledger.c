/*
 * The check of claims against ledgers.
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load/ledger.h"

enum word {
	WORD_EVENT,
	WORD_ID,
	WORD_METHOD,
	WORD_PATH,
	WORDS,
};

struct load_ledger {
	GHashTable *started_ids; /* set of "ID" */
	GHashTable *done; /* set of "REQUEST METHOD PATH" */
	GHashTable *starts; /* "REQUEST METHOD PATH": guint, how often */
	uint64_t nstarts;
};

struct load_ledger *
load_ledger_new(void)
{
	struct load_ledger *ledger = g_new0(struct load_ledger, 1);

	ledger->started_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ledger;
}

void
load_ledger_free(struct load_ledger *ledger)
{
	g_hash_table_destroy(ledger->started_ids);
	g_hash_table_destroy(ledger->done);
	g_hash_table_destroy(ledger->starts);
	g_free(ledger);
}

/* REQUEST of an id "REQUEST.PART".  Owned. */
static char *
request_of(const char *id)
{
	const char *dot = strrchr(id, '.');

	return dot != NULL ? g_strndup(id, (gsize)(dot - id)) : g_strdup(id);
}

/* "REQUEST METHOD PATH"; a ledger has paths without their query.  Owned. */
static char *
run_key(const char *id, const char *method, const char *path)
{
	char *request = request_of(id);
	char *key = g_strdup_printf(
	    "%s %s %.*s", request, method, (int)strcspn(path, "?"), path);

	g_free(request);
	return key;
}

/* key is taken over. */
static void
add_start(struct load_ledger *ledger, const char *id, char *key)
{
	guint *count = g_hash_table_lookup(ledger->starts, key);

	ledger->nstarts++;
	g_hash_table_add(ledger->started_ids, g_strdup(id));
	if (count == NULL) {
		count = g_new0(guint, 1);
		g_hash_table_insert(ledger->starts, key, count);
	} else {
		g_free(key);
	}
	(*count)++;
}

void
load_ledger_add_line(struct load_ledger *ledger, const char *line)
{
	char **words = g_strsplit_set(line, " \n", -1);
	char *key;

	if (g_strv_length(words) < WORDS || words[WORD_ID][0] == '\0') {
		g_strfreev(words);
		return;
	}
	key = run_key(words[WORD_ID], words[WORD_METHOD], words[WORD_PATH]);
	if (strcmp(words[WORD_EVENT], "start") == 0)
		add_start(ledger, words[WORD_ID], key);
	else if (strcmp(words[WORD_EVENT], "done") == 0)
		g_hash_table_add(ledger->done, key);
	else
		g_free(key);
	g_strfreev(words);
}

bool
load_ledger_read(struct load_ledger *ledger, const char *file, GError **error)
{
	FILE *stream = fopen(file, "r");
	char *line = NULL;
	size_t size = 0;

	if (stream == NULL)
		return loom_fail(error, LOOM_FILE_UNREADABLE, "%s: %s", file,
		    g_strerror(errno));
	while (getline(&line, &size, stream) >= 0)
		load_ledger_add_line(ledger, line);
	free(line);
	fclose(stream);
	return true;
}

uint64_t
load_ledger_starts(const struct load_ledger *ledger)
{
	return ledger->nstarts;
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
	char *key = run_key(claim->id, claim->method, claim->path);

	/* A kept answer may be of an earlier attempt, so whether it was done
	 * is asked of the whole request. */
	if (claim->answered) {
		if (!g_hash_table_contains(ledger->done, key))
			add_violation(list, LOAD_ANSWER_MISSING, claim->id);
	} else if (claim->outcome == LOOM_OUTCOME_NOT_RUN &&
	    g_hash_table_contains(ledger->started_ids, claim->id)) {
		add_violation(list, LOAD_NOT_RUN_RAN, claim->id);
	}
	g_free(key);
}

static bool
may_run_once(const char *key, const char *const *once)
{
	const char *route = strchr(key, ' ') + 1;

	for (; *once != NULL; once++) {
		if (strcmp(route, *once) == 0)
			return true;
	}
	return false;
}

/* The set of requests that claims are about.  Owned. */
static GHashTable *
claimed_requests(const GArray *claims)
{
	GHashTable *requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < claims->len; i++)
		g_hash_table_add(requests,
		    request_of(g_array_index(claims, struct load_claim, i).id));
	return requests;
}

/* Ledgers may hold other runs too: only claimed requests are looked at. */
static void
check_starts(const struct load_ledger *ledger, const GArray *claims,
    const char *const *once, GArray *list)
{
	GHashTable *requests = claimed_requests(claims);
	GHashTableIter iter;
	void *key, *count;
	char *request;

	g_hash_table_iter_init(&iter, ledger->starts);
	while (g_hash_table_iter_next(&iter, &key, &count)) {
		if (*(const guint *)count <= 1 || !may_run_once(key, once))
			continue;
		request = g_strndup(key, strcspn(key, " "));
		if (g_hash_table_contains(requests, request))
			add_violation(list, LOAD_RAN_TWICE, key);
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
	static const char *const names[LOAD_VIOLATIONS] = {
		[LOAD_NOT_RUN_RAN] = "not-run-ran",
		[LOAD_RAN_TWICE] = "ran-twice",
		[LOAD_ANSWER_MISSING] = "answer-missing",
	};

	return names[kind];
}
