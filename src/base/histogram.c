/*
 * Histograms are kept in a grow-only list under one lock; bucket counts and
 * sums are relaxed atomics.  A reader may see a duration counted in its bucket
 * shortly before it is added to the sum.
 */

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

#include "loom/clock.h"
#include "loom/histogram.h"

/*
 * Upper bounds of the buckets.  They reach from a response out of memory to the
 * longest time that callers wait, in steps that distinguish a 50 ms service
 * from a 100 ms one.
 */
static const uint32_t bounds_ms[] = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
	2000, 5000, 10000 };

#define BOUND_COUNT G_N_ELEMENTS(bounds_ms)

struct loom_histogram {
	/* by bucket; the last one is for durations above all bounds */
	atomic_uint_fast64_t counts[BOUND_COUNT + 1];
	atomic_uint_fast64_t sum_us;
	const char *name; /* borrowed, static, like help */
	const char *help;
	char *labels; /* owned; "" for none */
	struct loom_histogram *next;
};

static GMutex list_lock;
static struct loom_histogram *list_head;
static struct loom_histogram **list_tail = &list_head;
static uint32_t list_length;

static struct loom_histogram *
find_histogram(const char *name, const char *labels)
{
	struct loom_histogram *each;

	for (each = list_head; each != NULL; each = each->next) {
		if (strcmp(each->name, name) == 0 &&
		    strcmp(each->labels, labels) == 0)
			return each;
	}
	return NULL;
}

static struct loom_histogram *
create_histogram(const char *name, const char *labels, const char *help)
{
	struct loom_histogram *created;

	if (list_length == LOOM_HISTOGRAMS_MAX)
		return NULL;
	created = g_new0(struct loom_histogram, 1);
	created->name = name;
	created->help = help;
	created->labels = g_strdup(labels);
	*list_tail = created;
	list_tail = &created->next;
	list_length++;
	return created;
}

struct loom_histogram *
loom_histogram(const char *name, const char *labels, const char *help)
{
	struct loom_histogram *histogram;

	if (labels == NULL)
		labels = "";
	g_mutex_lock(&list_lock);
	histogram = find_histogram(name, labels);
	if (histogram == NULL)
		histogram = create_histogram(name, labels, help);
	g_mutex_unlock(&list_lock);
	return histogram;
}

void
loom_histogram_add(struct loom_histogram *histogram, uint64_t duration_us)
{
	size_t i = 0;

	if (histogram == NULL)
		return;
	while (i < BOUND_COUNT && duration_us > bounds_ms[i] * LOOM_US_PER_MS)
		i++;
	atomic_fetch_add_explicit(
	    &histogram->counts[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &histogram->sum_us, duration_us, memory_order_relaxed);
}

static void
append_bucket(GString *text, const struct loom_histogram *histogram,
    const char *bound, uint64_t count)
{
	g_string_append_printf(text,
	    "%s_bucket{%s%sle=\"%s\"} %" G_GUINT64_FORMAT "\n", histogram->name,
	    histogram->labels, histogram->labels[0] == '\0' ? "" : ",", bound,
	    count);
}

/* Appends "NAME_SUFFIX{LABELS} ", without the braces if there are no labels. */
static void
append_name(
    GString *text, const struct loom_histogram *histogram, const char *suffix)
{
	g_string_append_printf(text, "%s_%s", histogram->name, suffix);
	if (histogram->labels[0] != '\0')
		g_string_append_printf(text, "{%s}", histogram->labels);
	g_string_append_c(text, ' ');
}

static void
append_histogram(GString *text, const struct loom_histogram *histogram)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];
	uint64_t count = 0;
	size_t i;

	for (i = 0; i < BOUND_COUNT; i++) {
		count += atomic_load(&histogram->counts[i]);
		g_ascii_formatd(
		    number, sizeof(number), "%g", bounds_ms[i] / 1e3);
		append_bucket(text, histogram, number, count);
	}
	count += atomic_load(&histogram->counts[BOUND_COUNT]);
	append_bucket(text, histogram, "+Inf", count);
	g_ascii_formatd(number, sizeof(number), "%.6f",
	    (double)atomic_load(&histogram->sum_us) / LOOM_US_PER_S);
	append_name(text, histogram, "sum");
	g_string_append_printf(text, "%s\n", number);
	append_name(text, histogram, "count");
	g_string_append_printf(text, "%" G_GUINT64_FORMAT "\n", count);
}

static bool
is_first_of_name(const struct loom_histogram *histogram)
{
	const struct loom_histogram *each;

	for (each = list_head; each != histogram; each = each->next) {
		if (strcmp(each->name, histogram->name) == 0)
			return false;
	}
	return true;
}

/* The text format requires that all series of one name are adjacent. */
static void
append_family(GString *text, const struct loom_histogram *first)
{
	const struct loom_histogram *each;

	g_string_append_printf(text, "# HELP %s %s\n# TYPE %s histogram\n",
	    first->name, first->help, first->name);
	for (each = first; each != NULL; each = each->next) {
		if (strcmp(each->name, first->name) == 0)
			append_histogram(text, each);
	}
}

char *
loom_histogram_text(void)
{
	const struct loom_histogram *each;
	GString *text = g_string_new(NULL);

	g_mutex_lock(&list_lock);
	for (each = list_head; each != NULL; each = each->next) {
		if (is_first_of_name(each))
			append_family(text, each);
	}
	g_mutex_unlock(&list_lock);
	return g_string_free(text, FALSE);
}
