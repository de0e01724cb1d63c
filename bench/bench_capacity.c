/*
 * What control costs a daemon, as slopes over the count of daemons, teams and
 * changes, with real processes on this machine: docs/CAPACITY.md works out
 * the size to design for from these figures.
 *
 * Each row starts a fleet of daemons alone, lets it settle and watches it for
 * some seconds without any call, then ships changes.  Processor time and
 * memory are the kernel's, bytes the daemons' own counters.
 */

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/testbed.h"

#define SETTLE_US (4 * G_USEC_PER_SEC)
#define WATCH_US (6 * G_USEC_PER_SEC)
#define CHANGES 12
#define CHANGE_GAP_US (G_USEC_PER_SEC / 2)
#define SAMPLED TESTBED_HOSTS_MAX /* daemons asked for their counters */
#define SERVICE_HOSTS 20
#define PROBED 12 /* daemons that a change is waited for at */
#define DATA_CENTRES 3
#define LAST_POLL_US 2000

struct row {
	uint32_t daemons;
	uint32_t teams;
};

static const struct row rows[] = {
	{ .daemons = 4, .teams = 8 },
	{ .daemons = 16, .teams = 8 },
	{ .daemons = 16, .teams = 64 },
	{ .daemons = 16, .teams = 256 },
	{ .daemons = 48, .teams = 8 },
	{ .daemons = 96, .teams = 8 },
	{ .daemons = 160, .teams = 8 },
};

struct figures {
	double cpu_percent; /* of a core, mean over daemons */
	double cpu_most;
	double bytes_per_s; /* sent and received, mean over sampled */
	double bytes_most;
	double platform_calls_per_s; /* all daemons together */
	long memory_kb; /* mean */
};

static struct testbed testbed;
static const char *const service_names[] = { "s0", "s1", "s2", "s3", "s4", "s5",
	"s6", "s7" };

/* As at the size to design for: 20 daemons a service. */
static uint32_t
service_count(const struct row *row)
{
	return (row->daemons + SERVICE_HOSTS - 1) / SERVICE_HOSTS;
}

static char *
document(uint32_t version, const struct row *row)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	g_string_append_printf(text,
	    "{\"document\":\"test\",\"version\":%u,\"fleet\":{\"slots\":%u},"
	    "\"teams\":[",
	    version, row->daemons);
	for (i = 0; i < row->teams; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"team-%u\",\"rate_per_s\":50,\"burst\":20,"
		    "\"keys\":[{\"id\":\"a\",\"sha256\":\"%064x\"}]}",
		    i > 0 ? "," : "", i, i + 1);
	g_string_append(text, "],\"services\":[");
	for (i = 0; i < service_count(row); i++)
		g_string_append_printf(text, "%s{\"name\":\"%s\"}",
		    i > 0 ? "," : "", service_names[i]);
	g_string_append(text,
	    "],\"routes\":[{\"name\":\"g\",\"service\":\"s0\","
	    "\"method\":\"GET\",\"path\":\"/get\"}]}");
	return g_string_free(text, FALSE);
}

static double
control_bytes(uint32_t host)
{
	return testbed_metric(&testbed, host, "loom_inner_sent_bytes_total") +
	    testbed_metric(&testbed, host, "loom_inner_received_bytes_total");
}

static double
platform_calls(void)
{
	char *text = testbed_platform_call(&testbed, "GET", "/v1/calls");
	struct json_object *object = json_tokener_parse(text);
	struct json_object *calls;
	double n = 0;

	if (json_object_object_get_ex(object, "calls", &calls))
		n = json_object_get_double(calls);
	json_object_put(object);
	g_free(text);
	return n;
}

struct sample {
	double cpu[TESTBED_HOSTS_MAX];
	double bytes[SAMPLED];
	double calls;
	gint64 at_us;
};

static void
take_sample(struct sample *sample)
{
	uint32_t i;

	sample->at_us = g_get_monotonic_time();
	sample->calls = platform_calls();
	for (i = 0; i < testbed.nhosts; i++)
		sample->cpu[i] = testbed_cpu_s(testbed.hosts[i].daemon);
	for (i = 0; i < SAMPLED && i < testbed.nhosts; i++)
		sample->bytes[i] = control_bytes(i);
}

static struct figures
compare(const struct sample *a, const struct sample *b)
{
	double s = (double)(b->at_us - a->at_us) / G_USEC_PER_SEC;
	uint32_t sampled = MIN(testbed.nhosts, (uint32_t)SAMPLED);
	struct figures f = { .memory_kb = 0 };
	double part;
	uint32_t i;

	for (i = 0; i < testbed.nhosts; i++) {
		part = 100 * (b->cpu[i] - a->cpu[i]) / s;
		f.cpu_percent += part / testbed.nhosts;
		f.cpu_most = MAX(f.cpu_most, part);
		f.memory_kb += testbed_memory_kb(testbed.hosts[i].daemon) /
		    (long)testbed.nhosts;
	}
	for (i = 0; i < sampled; i++) {
		part = (b->bytes[i] - a->bytes[i]) / s;
		f.bytes_per_s += part / sampled;
		f.bytes_most = MAX(f.bytes_most, part);
	}
	f.platform_calls_per_s = (b->calls - a->calls) / s;
	return f;
}

/* Whether all sampled daemons, spread over the fleet, have the generation
 * that a change leads to. */
static bool
all_have(double generation)
{
	const uint32_t step = MAX(testbed.nhosts / PROBED, 1);
	uint32_t i;

	for (i = 0; i < testbed.nhosts; i += step) {
		if (testbed_metric(&testbed, i, "loom_manifest_generation") <
		    generation)
			return false;
	}
	return true;
}

static double
ship(uint32_t version, const struct row *row)
{
	double before = testbed_metric(&testbed, 0, "loom_manifest_generation");
	char *text = document(version, row);
	gint64 start_us = g_get_monotonic_time();

	testbed_put_document(&testbed, "test", text);
	g_free(text);
	while (!all_have(before + 1) &&
	    g_get_monotonic_time() - start_us < 20 * G_USEC_PER_SEC)
		g_usleep(LAST_POLL_US);
	return (double)(g_get_monotonic_time() - start_us) / 1000;
}

static void
print_figures(const struct row *row, const char *when, const struct figures *f)
{
	printf("%7u %6u  %-8s cpu %.2f%% (most %.2f%%)  control %.0f B/s "
	       "(most %.0f)  platform %.1f calls/s  memory %ld KB\n",
	    row->daemons, row->teams, when, f->cpu_percent, f->cpu_most,
	    f->bytes_per_s, f->bytes_most, f->platform_calls_per_s,
	    f->memory_kb);
	fflush(stdout);
}

static void
watch(const struct row *row)
{
	struct sample before = { .at_us = 0 }, after = before;
	struct figures figures;

	g_usleep(SETTLE_US);
	take_sample(&before);
	g_usleep(WATCH_US);
	take_sample(&after);
	figures = compare(&before, &after);
	print_figures(row, "idle", &figures);
}

static void
change(const struct row *row)
{
	struct sample before = { .at_us = 0 }, after = before;
	struct figures figures;
	double took_ms, worst_ms = 0, sum_ms = 0;
	uint32_t i;

	take_sample(&before);
	for (i = 0; i < CHANGES; i++) {
		took_ms = ship(2 + i, row);
		sum_ms += took_ms;
		worst_ms = MAX(worst_ms, took_ms);
		g_usleep(CHANGE_GAP_US);
	}
	take_sample(&after);
	figures = compare(&before, &after);
	print_figures(row, "changes", &figures);
	printf("%7u %6u  in force after %.0f ms (worst %.0f ms), "
	       "%d changes in %.1f s\n",
	    row->daemons, row->teams, sum_ms / CHANGES, worst_ms, CHANGES,
	    (double)(after.at_us - before.at_us) / G_USEC_PER_SEC);
	fflush(stdout);
}

/* Rows of more daemons than the first argument, if any, are left out. */
int
main(int argc, char **argv)
{
	const uint32_t daemons_max =
	    argc > 1 ? (uint32_t)atoi(argv[1]) : TESTBED_HOSTS_MAX;
	struct testbed_service services[G_N_ELEMENTS(service_names)];
	uint32_t j, n;
	bool started = true;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows) && started; i++) {
		if (rows[i].daemons > daemons_max)
			continue;
		n = service_count(&rows[i]);
		for (j = 0; j < n; j++)
			services[j] = (struct testbed_service){
				.name = service_names[j],
				.hosts = MIN(SERVICE_HOSTS,
				    rows[i].daemons - j * SERVICE_HOSTS),
				.slots = 16,
				.without_upstreams = true,
			};
		text = document(1, &rows[i]);
		started =
		    testbed_start(&testbed, services, n, DATA_CENTRES, text);
		g_free(text);
		if (started) {
			watch(&rows[i]);
			change(&rows[i]);
		} else {
			fprintf(stderr, "%u daemons do not start\n",
			    rows[i].daemons);
		}
		testbed_stop(&testbed);
	}
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
