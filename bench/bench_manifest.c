/*
 * What a manifest costs at the size of the plan: reading one document,
 * joining all of them, look-ups, bytes.  The figures feed docs/CAPACITY.md;
 * the bounds are ratios within one run, so that they hold on any machine:
 * joining must stay linear and look-ups must hardly grow with the fleet.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loom/clock.h"
#include "loom/manifest.h"

#define ROUTES_PER_SERVICE 10
#define TEAMS_PER_SERVICE 5
#define KEYS_PER_TEAM 2
#define SCALE 10
#define LARGE_SERVICES 850 /* of the plan */
#define BUILDS 20
#define LOOKUPS 200000
/* The best of several rounds counts: the others were disturbed. */
#define ROUNDS 5
/* At ten times the fleet a quadratic join takes 100 times as long, a linear
 * one ten and what it costs to leave the caches; a linear look-up takes ten
 * times as long. */
#define BUILD_RATIO_MAX 40.0
#define LOOKUP_RATIO_MAX 6.0

struct figures {
	double parse_us; /* one document */
	double build_ms; /* all of them */
	double key_ns;
	double route_ns;
	size_t documents_bytes;
	size_t manifest_bytes;
	size_t text_bytes; /* of one document */
};

static size_t
heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static void
append_teams(GString *text, unsigned service)
{
	unsigned team, key;

	for (team = 0; team < TEAMS_PER_SERVICE; team++) {
		g_string_append_printf(text,
		    "%s{\"name\":\"t%u.%u\",\"rate_per_s\":50,\"burst\":80,"
		    "\"keys\":[",
		    team == 0 ? "" : ",", service, team);
		for (key = 0; key < KEYS_PER_TEAM; key++)
			g_string_append_printf(text,
			    "%s{\"id\":\"k%u\",\"sha256\":\"%08x%056x\"}",
			    key == 0 ? "" : ",", key,
			    (service * TEAMS_PER_SERVICE + team) * 2654435761U,
			    key);
		g_string_append(text, "]}");
	}
}

/* Each route calls the one of the same number in the next service. */
static void
append_routes(GString *text, unsigned service, unsigned services)
{
	unsigned route;

	for (route = 0; route < ROUTES_PER_SERVICE; route++) {
		g_string_append_printf(text,
		    "%s{\"name\":\"r%u.%u\",\"service\":\"s%u\","
		    "\"method\":\"GET\",\"path\":\"/s%u/r%u/*\",\"calls\":[",
		    route == 0 ? "" : ",", service, route, service, service,
		    route);
		if (service + 1 < services && service % 28 != 27)
			g_string_append_printf(
			    text, "\"r%u.%u\"", service + 1, route);
		g_string_append(text, "]}");
	}
}

static GString *
document_text(unsigned service, unsigned services)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "{\"document\":\"s%u\",\"version\":1,\"services\":["
	    "{\"name\":\"s%u\",\"slots\":20}],\"teams\":[",
	    service, service);
	append_teams(text, service);
	g_string_append(text, "],\"routes\":[");
	append_routes(text, service, services);
	g_string_append(text, "]}");
	return text;
}

static void
parse_all(struct loom_document **documents, unsigned services,
    struct figures *figures)
{
	uint64_t spent_us = 0, start_us;
	struct loom_problem *problems = NULL;
	GString *text;
	unsigned i;

	for (i = 0; i < services; i++) {
		text = document_text(i, services);
		start_us = loom_now_us();
		documents[i] = loom_document_parse(
		    text->str, text->len, "bench", &problems);
		spent_us += loom_now_us() - start_us;
		figures->text_bytes = text->len;
		g_string_free(text, TRUE);
		if (documents[i] == NULL)
			abort();
	}
	figures->parse_us = (double)spent_us / services;
}

static double
least(double best, double value)
{
	return best == 0 || value < best ? value : best;
}

static struct loom_manifest *
build(struct loom_document **documents, unsigned services,
    struct figures *figures)
{
	struct loom_problem *problems = NULL;
	struct loom_manifest *manifest = NULL;
	uint64_t start_us;
	unsigned i;

	for (i = 0; i < BUILDS; i++) {
		if (manifest != NULL)
			loom_manifest_release(manifest);
		start_us = loom_now_us();
		manifest =
		    loom_manifest_build(documents, services, i + 1, &problems);
		if (manifest == NULL)
			abort();
		figures->build_ms = least(figures->build_ms,
		    (double)(loom_now_us() - start_us) / LOOM_US_PER_MS);
	}
	return manifest;
}

static void
look_up_keys(const struct loom_manifest *manifest, struct figures *figures)
{
	uint64_t start_us = loom_now_us();
	const struct loom_key *key;
	unsigned i, found = 0;

	for (i = 0; i < LOOKUPS; i++) {
		key = &manifest->keys[i * 7919U % manifest->nkeys];
		found += loom_manifest_key(manifest, key->digest) == key;
	}
	if (found != LOOKUPS)
		abort();
	figures->key_ns = least(figures->key_ns,
	    (double)(loom_now_us() - start_us) * 1000 / LOOKUPS);
}

static void
look_up_routes(const struct loom_manifest *manifest, unsigned services,
    struct figures *figures)
{
	uint64_t start_us = loom_now_us();
	unsigned i, found = 0;
	char path[64];

	for (i = 0; i < LOOKUPS; i++) {
		g_snprintf(path, sizeof(path), "/s%u/r%u/some/thing",
		    i * 7919U % services, i % ROUTES_PER_SERVICE);
		found += loom_manifest_route(manifest, "GET", path) != NULL;
	}
	if (found != LOOKUPS)
		abort();
	figures->route_ns = least(figures->route_ns,
	    (double)(loom_now_us() - start_us) * 1000 / LOOKUPS);
}

static void
measure(unsigned services, struct figures *figures)
{
	struct loom_document **documents =
	    g_new0(struct loom_document *, services);
	struct loom_manifest *manifest;
	size_t before = heap_bytes();
	unsigned i;

	parse_all(documents, services, figures);
	figures->documents_bytes = heap_bytes() - before;
	before = heap_bytes();
	manifest = build(documents, services, figures);
	figures->manifest_bytes = heap_bytes() - before;
	for (i = 0; i < ROUNDS; i++) {
		look_up_keys(manifest, figures);
		look_up_routes(manifest, services, figures);
	}
	loom_manifest_release(manifest);
	for (i = 0; i < services; i++)
		loom_document_release(documents[i]);
	g_free(documents);
	printf("%4u services: document of %zu bytes read in %.1f us; all "
	       "joined in %.2f ms; key %.0f ns, route %.0f ns; documents "
	       "%.2f MB, manifest %.2f MB\n",
	    services, figures->text_bytes, figures->parse_us, figures->build_ms,
	    figures->key_ns, figures->route_ns,
	    (double)figures->documents_bytes / 1e6,
	    (double)figures->manifest_bytes / 1e6);
}

static bool
hold(const char *name, double small, double large, double bound)
{
	bool ok = large <= small * bound;

	printf("%s: %.2f times at %d times the fleet (at most %.1f): %s\n",
	    name, large / small, SCALE, bound, ok ? "ok" : "BROKEN");
	return ok;
}

int
main(void)
{
	struct figures small = { .build_ms = 0 }, large = small;
	bool ok;

	measure(LARGE_SERVICES / SCALE, &small);
	measure(LARGE_SERVICES, &large);
	ok = hold("join", small.build_ms, large.build_ms, BUILD_RATIO_MAX);
	ok = hold("key", small.key_ns, large.key_ns, LOOKUP_RATIO_MAX) && ok;
	ok = hold("route", small.route_ns, large.route_ns, LOOKUP_RATIO_MAX) &&
	    ok;
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
