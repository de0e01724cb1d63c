/*
 * What the rights part costs: the slopes that docs/design/rights.md works
 * from.  Times are of this machine; the bounds are ratios within one run.
 */

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "inner/rights_codec.h"
#include "loom/rights.h"
#include "support/fleet.h"

#define START_US UINT64_C(1000000)
#define MS UINT64_C(1000)
#define SELF_MAX 64

struct bench {
	struct loom_rights *rights;
	struct loom_self self;
	uint64_t now_us;
	uint64_t messages;
	uint64_t bytes;
};

static bool broken;

static void
hold(bool ok, const char *what)
{
	if (!ok) {
		printf("BROKEN: %s\n", what);
		broken = true;
	}
}

static void
count(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	struct bench *bench = arg;

	(void)host_id;
	(void)type;
	(void)payload;
	bench->messages++;
	bench->bytes += len;
}

static struct loom_manifest *
make_manifest(unsigned teams, unsigned slots)
{
	GString *text = g_string_new(NULL);
	struct loom_problem *problems = NULL;
	struct loom_document *document;
	struct loom_manifest *manifest;
	unsigned i;

	g_string_printf(text,
	    "{ \"document\": \"d\", \"version\": 1,"
	    "\"fleet\": { \"slots\": %u }, \"teams\": [",
	    slots);
	for (i = 0; i < teams; i++)
		g_string_append_printf(text,
		    "%s{ \"name\": \"t%u\", \"rate_per_s\": 100000,"
		    "\"burst\": 100000 }",
		    i == 0 ? "" : ",", i);
	g_string_append(text, "] }");
	document =
	    loom_document_parse(text->str, text->len, "bench", &problems);
	manifest = loom_manifest_build(&document, 1, 1, &problems);
	loom_document_release(document);
	g_string_free(text, TRUE);
	return manifest;
}

static struct loom_hosts *
make_hosts(unsigned n)
{
	struct loom_host host = { .service_id = 1 };
	GArray *list = g_array_new(FALSE, TRUE, sizeof(host));
	struct loom_hosts *hosts;
	unsigned i;

	for (i = 1; i <= n; i++) {
		host.id = i;
		g_array_append_val(list, host);
	}
	hosts = loom_hosts_build(list);
	g_array_free(list, TRUE);
	return hosts;
}

/* A daemon that is the pool of n hosts, or a child; teams all active. */
static void
start(struct bench *bench, unsigned teams, unsigned n, bool as_pool)
{
	struct loom_sender sender = { .send = count, .arg = bench };
	struct loom_manifest *manifest = make_manifest(teams, n);
	struct loom_hosts *hosts = make_hosts(n);
	struct loom_rights_summary summary;

	memset(bench, 0, sizeof(*bench));
	bench->self = (struct loom_self){
		.data_centre = "", .region = "", .incarnation = 77
	};
	bench->now_us = START_US;
	do {
		talloc_free(bench->rights);
		bench->self.host_id++;
		bench->rights = loom_rights_new(NULL, &bench->self, &sender,
		    &loom_random_system, NULL, NULL, bench->now_us);
		loom_rights_ops.manifest_changed(
		    bench->rights, manifest, bench->now_us);
		loom_rights_ops.hosts_changed(
		    bench->rights, hosts, bench->now_us);
		loom_rights_summary(bench->rights, &summary);
	} while ((summary.pool_host_id == 0) != as_pool);
	loom_manifest_release(manifest);
	loom_hosts_release(hosts);
}

static uint64_t
team_id(unsigned i)
{
	char name[16];

	g_snprintf(name, sizeof(name), "t%u", i);
	return loom_name_id(name);
}

static void
run_until(struct bench *bench, uint64_t until_us)
{
	for (; bench->now_us < until_us; bench->now_us += 2 * MS)
		loom_rights_ops.tick(bench->rights, bench->now_us);
}

/* One message of a child with so many teams. */
static void
child_message(struct bench *bench, unsigned child, uint64_t seq, unsigned teams)
{
	static struct loom_rights_up up;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct loom_message_source from = { 100000 + child, 1 };
	unsigned i;
	size_t len;

	up = (struct loom_rights_up){ .seq = seq,
		.now_us = bench->now_us,
		.pool_incarnation = bench->self.incarnation,
		.pool_now_us = bench->now_us - MS,
		.lend_parts = 1000,
		.lend_us = 800 * MS,
		.nentries = teams };
	for (i = 0; i < teams; i++)
		up.entries[i] = (struct loom_rights_up_entry){
			.team_id = team_id(i),
			.demand_mhz = 30000,
			.prefetch_utok = LOOM_TOKEN_UTOK,
		};
	len = loom_rights_up_pack(&up, buf, sizeof(buf));
	loom_rights_ops.message(
	    bench->rights, &from, LOOM_RIGHTS_UP, buf, len, bench->now_us);
}

static double
bench_take(unsigned teams)
{
	const unsigned n = 2000000;
	uint64_t *ids = g_new(uint64_t, teams);
	struct bench bench;
	uint64_t retry_us, taken_us, begun;
	double ns;
	unsigned i;

	start(&bench, teams, 1, true);
	run_until(&bench, START_US + 5000 * MS);
	for (i = 0; i < teams; i++)
		ids[i] = team_id(i);
	begun = loom_wall_ns();
	for (i = 0; i < n; i++)
		loom_rights_take(bench.rights, ids[i % teams],
		    bench.now_us + i / 10, &retry_us, &taken_us);
	ns = (double)(loom_wall_ns() - begun) / n;
	printf("take a token, %4u teams: %.0f ns\n", teams, ns);
	talloc_free(bench.rights);
	g_free(ids);
	return ns;
}

/* A pool's work for each team named in a child's renewal. */
static double
bench_pool(unsigned children, unsigned teams)
{
	const unsigned rounds = 40000 / (children * teams) + 1;
	unsigned round, child;
	struct bench bench;
	uint64_t begun, seq = 0;
	double us;

	start(&bench, teams, 1, true);
	run_until(&bench, START_US + 5000 * MS);
	for (child = 0; child < children; child++)
		child_message(&bench, child, ++seq, teams);
	begun = loom_wall_ns();
	for (round = 0; round < rounds; round++) {
		for (child = 0; child < children; child++)
			child_message(&bench, child, ++seq, teams);
	}
	us = (double)(loom_wall_ns() - begun) / 1000.0 / rounds / children;
	printf("pool, a renewal of %3u teams, %3u children: %.1f us, "
	       "%.2f us a team\n",
	    teams, children, us, us / teams);
	talloc_free(bench.rights);
	return us / teams;
}

/* The tick that renews, with so many teams known and none in use. */
static double
bench_renew(unsigned teams, unsigned children)
{
	const unsigned rounds = 50;
	struct bench bench;
	uint64_t begun, seq = 0;
	unsigned i, child;
	double us = 0;

	start(&bench, teams, 1, true);
	run_until(&bench, START_US + 5000 * MS);
	for (i = 0; i < rounds; i++) {
		for (child = 0; child < children; child++)
			child_message(&bench, child, ++seq, MIN(teams, 10));
		bench.now_us += 100 * MS;
		begun = loom_wall_ns();
		loom_rights_ops.tick(bench.rights, bench.now_us);
		us += (double)(loom_wall_ns() - begun) / 1000.0 / rounds;
	}
	printf("pool, the tick of a renewal, %4u teams, %3u children: "
	       "%.0f us\n",
	    teams, children, us);
	talloc_free(bench.rights);
	return us;
}

/* The pool answers: each team in use has a loan of one token. */
static void
pool_answer(struct bench *bench, uint64_t seq, unsigned used, size_t *len)
{
	static struct loom_rights_down down;
	static uint8_t buf[LOOM_RIGHTS_MESSAGE_MAX];
	struct loom_rights_summary summary;
	struct loom_message_source from = { .incarnation = 9 };
	unsigned i;

	loom_rights_summary(bench->rights, &summary);
	from.host_id = summary.pool_host_id;
	down = (struct loom_rights_down){ .seq = seq,
		.child_incarnation = bench->self.incarnation,
		.child_now_us = bench->now_us - MS,
		.now_us = bench->now_us,
		.nentries = used };
	for (i = 0; i < used; i++)
		down.entries[i] = (struct loom_rights_down_entry){
			.team_id = team_id(i),
			.flags = LOOM_RIGHTS_GRANT,
			.share.capacity = LOOM_SHARE_WHOLE / 1000,
			.tokens_utok = LOOM_TOKEN_UTOK,
			.duration_us = 400 * MS,
		};
	*len = loom_rights_down_pack(&down, buf, sizeof(buf));
	loom_rights_ops.message(
	    bench->rights, &from, LOOM_RIGHTS_DOWN, buf, *len, bench->now_us);
}

/* Bytes of a child's renewal and of its answer by the teams that it uses. */
static double
bench_bytes(unsigned used)
{
	const unsigned rounds = 20;
	struct bench bench;
	uint64_t retry_us, taken_us, bytes = 0, messages = 0;
	unsigned i, round;
	size_t answer;
	double each;

	start(&bench, 300, 16, false);
	for (round = 0; round < rounds; round++) {
		for (i = 0; i < used; i++)
			loom_rights_take(bench.rights, team_id(i), bench.now_us,
			    &retry_us, &taken_us);
		if (round == rounds / 2) {
			bytes = bench.bytes;
			messages = bench.messages;
		}
		run_until(&bench, bench.now_us + 98 * MS);
		pool_answer(&bench, round + 1, used, &answer);
		run_until(&bench, bench.now_us + 2 * MS);
	}
	each = (double)(bench.bytes - bytes) / (rounds / 2.0);
	printf("child, a renewal with %3u of 300 teams in use: %.0f bytes in "
	       "%.1f messages, answer %zu bytes\n",
	    used, each, (double)(bench.messages - messages) / (rounds / 2.0),
	    answer);
	talloc_free(bench.rights);
	return each;
}

#define FLEET_DAEMONS 16
#define FLEET_RATE 500
#define FLEET_BURST 100
#define WARM_UP_US (12000 * MS)
#define WATCH_S 20

/* Calls of the first teams, as Poisson arrivals at any daemon. */
static void
play_teams(struct fleet *fleet, unsigned teams, double load, uint64_t for_us)
{
	const uint64_t until_us = fleet_now(fleet) + for_us;
	const double per_s = load * FLEET_RATE * teams;
	struct loom_random *random = fleet_random(fleet);
	uint64_t next_us = fleet_now(fleet);
	unsigned team;

	for (;;) {
		next_us += (uint64_t)(-log(1 - loom_random_unit(random)) /
		    per_s * 1e6);
		if (next_us >= until_us)
			break;
		fleet_run(fleet, next_us);
		team = (unsigned)loom_random_below(random, teams);
		/* team 1 has a tenth of the rate */
		fleet_call(fleet,
		    (unsigned)loom_random_below(random, FLEET_DAEMONS),
		    team == 0 ? 0 : team + 1);
	}
	fleet_run(fleet, until_us);
}

/* A daemon and its pool while so many teams send this part of their rate to
 * all daemons alike; messages a second of the daemon. */
static double
bench_busy(unsigned teams, double load)
{
	struct fleet *fleet = fleet_new(FLEET_DAEMONS, 3, 7, NULL);
	uint64_t bytes = 0, messages = 0;
	const double each = WATCH_S * (FLEET_DAEMONS - 1);
	unsigned i;

	fleet_set_manifest_all(fleet, FLEET_RATE, FLEET_BURST, FLEET_DAEMONS);
	play_teams(fleet, teams, load, WARM_UP_US);
	for (i = 0; i < FLEET_DAEMONS; i++) {
		bytes -= fleet_bytes(fleet, i);
		messages -= fleet_messages(fleet, i);
	}
	play_teams(fleet, teams, load, WATCH_S * 1000 * MS);
	for (i = 0; i < FLEET_DAEMONS; i++) {
		bytes += fleet_bytes(fleet, i);
		messages += fleet_messages(fleet, i);
	}
	printf("busy with %u teams at %2.0f%% of their rate, %.0f calls/s: "
	       "%.0f B/s in %.1f msg/s of a daemon with its pool\n",
	    teams, load * 100, load * FLEET_RATE * teams / FLEET_DAEMONS,
	    (double)bytes / each, (double)messages / each);
	fleet_free(fleet);
	return (double)messages / each;
}

int
main(void)
{
	double one, many;

	one = bench_take(1);
	many = bench_take(1000);
	hold(many < 6 * one, "a take must not grow with the teams");
	one = bench_pool(10, 10);
	bench_pool(850, 1);
	many = bench_pool(850, 10);
	hold(many < 6 * one, "a renewal must not grow with the children");
	bench_pool(10, 100);
	bench_renew(10, 10);
	bench_renew(300, 10);
	bench_renew(10, 850);
	bench_renew(300, 850);
	one = bench_bytes(1);
	many = bench_bytes(100);
	hold(bench_bytes(0) < 100, "no team in use costs little");
	hold(many < 100 * one, "teams share a message");
	bench_busy(1, 0.5);
	bench_busy(1, 0.9);
	hold(bench_busy(8, 0.5) < 50, "no question a call far under the rate");
	bench_busy(8, 0.9);
	return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
