/*
 * Counters are kept in a grow-only list.  One lock covers lookup, creation and
 * formatting; each value is a relaxed atomic.  Values of different counters may
 * be read at slightly different times, which is harmless because no decision
 * depends on them.
 */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "loom/counter.h"

static GMutex list_lock;
static struct loom_counter *list_head;
static struct loom_counter **list_tail = &list_head;

static bool
same_labels(const char *a, const char *b)
{
	return g_strcmp0(a, b) == 0;
}

static struct loom_counter *
find_counter(const char *name, const char *labels)
{
	struct loom_counter *counter;

	for (counter = list_head; counter != NULL; counter = counter->next) {
		if (strcmp(counter->name, name) == 0 &&
		    same_labels(counter->labels, labels))
			return counter;
	}
	return NULL;
}

static struct loom_counter *
find_or_make(
    const char *name, const char *labels, const char *help, const char *type)
{
	struct loom_counter *counter;

	g_mutex_lock(&list_lock);
	counter = find_counter(name, labels);
	if (counter == NULL) {
		counter = aligned_alloc(
		    _Alignof(struct loom_counter), sizeof(*counter));
		g_assert(counter != NULL);
		memset(counter, 0, sizeof(*counter));
		counter->name = name;
		counter->labels = g_strdup(labels);
		counter->help = help;
		counter->type = type;
		*list_tail = counter;
		list_tail = &counter->next;
	}
	g_mutex_unlock(&list_lock);
	return counter;
}

struct loom_counter *
loom_counter(const char *name, const char *labels, const char *help)
{
	return find_or_make(name, labels, help, "counter");
}

struct loom_counter *
loom_gauge(const char *name, const char *labels, const char *help)
{
	return find_or_make(name, labels, help, "gauge");
}

void
loom_counter_add(struct loom_counter *counter, int64_t n)
{
	atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

void
loom_gauge_set(struct loom_counter *counter, int64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

int64_t
loom_counter_value(const struct loom_counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

static bool
is_first_of_name(const struct loom_counter *counter)
{
	const struct loom_counter *other;

	for (other = list_head; other != counter; other = other->next) {
		if (strcmp(other->name, counter->name) == 0)
			return false;
	}
	return true;
}

/* The text format requires that all series of one name are adjacent. */
static void
append_family(GString *text, const struct loom_counter *first)
{
	const struct loom_counter *counter;

	g_string_append_printf(text, "# HELP %s %s\n# TYPE %s %s\n",
	    first->name, first->help, first->name, first->type);
	for (counter = first; counter != NULL; counter = counter->next) {
		if (strcmp(counter->name, first->name) != 0)
			continue;
		g_string_append(text, counter->name);
		if (counter->labels != NULL)
			g_string_append_printf(text, "{%s}", counter->labels);
		g_string_append_printf(text, " %" G_GINT64_FORMAT "\n",
		    (gint64)loom_counter_value(counter));
	}
}

char *
loom_counter_text(void)
{
	const struct loom_counter *counter;
	GString *text = g_string_new(NULL);

	g_mutex_lock(&list_lock);
	for (counter = list_head; counter != NULL; counter = counter->next) {
		if (is_first_of_name(counter))
			append_family(text, counter);
	}
	g_mutex_unlock(&list_lock);
	return g_string_free(text, FALSE);
}
