/*
 * The share that a daemon owns and the choice of pools, both computed by each
 * daemon from its own host list.
 */

#include <string.h>

#include "decide/ownership.h"
#include "decide/pool_choice.h"
#include "decide/team_bucket.h"
#include "support/test.h"

#define S UINT64_C(1000000)
#define LAG_US (10 * S)
#define START_US (100 * S)

/* n hosts with ids from `from`, spread over data centres and regions. */
static struct loom_hosts *
make_hosts(unsigned from, unsigned n, unsigned dcs, unsigned regions)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	struct loom_hosts *hosts;
	struct loom_host host;
	unsigned i;

	for (i = from; i < from + n; i++) {
		memset(&host, 0, sizeof(host));
		host.id = i;
		host.service_id = 1;
		g_snprintf(host.data_centre, 16, "dc%u", i % dcs);
		g_snprintf(host.region, 16, "r%u", i % regions);
		g_array_append_val(list, host);
	}
	hosts = loom_hosts_build(list);
	g_array_free(list, TRUE);
	return hosts;
}

static void
set_host_list(
    struct loom_ownership *own, unsigned from, unsigned n, uint64_t now_us)
{
	struct loom_hosts *hosts = make_hosts(from, n, 1, 1);

	loom_ownership_set_hosts(own, hosts, now_us);
	loom_hosts_release(hosts);
}

/*
 * The fraction owned at now_us. Calls often enough in between not to be taken
 * for a paused process.
 */
static double
parts_at(struct loom_ownership *own, uint64_t now_us)
{
	uint64_t at_us;

	for (at_us = own->checked_us + S; at_us < now_us; at_us += S)
		loom_ownership_parts(own, at_us);
	return (double)loom_ownership_parts(own, now_us) /
	    (double)LOOM_SHARE_WHOLE;
}

#define IS_PART(got, n) ((got) > 0.999 / (n) && (got) <= 1.0 / (n))

/*
 * The owned share while slots, host lists and the process change: an increase
 * of n takes effect at once, a decrease late, and after a start or a long pause
 * nothing is owned until no other daemon can still hold the share.
 */
static void
test_parts(void)
{
	struct loom_ownership own;
	uint64_t t = START_US;

	loom_ownership_init(&own, 1, LAG_US);
	loom_ownership_set_slots(&own, 16, t);
	TEST_CHECK(parts_at(&own, t) == 0, "not listed");
	set_host_list(&own, 1, 16, t);
	TEST_CHECK(parts_at(&own, t + 3 * S) == 0, "started a moment ago");
	TEST_CHECK(IS_PART(parts_at(&own, t + 4 * S), 16), "owns its share");
	t += 10 * S;
	parts_at(&own, t);
	set_host_list(&own, 1, 20, t);
	TEST_CHECK(IS_PART(parts_at(&own, t), 20),
	    "a higher host count applies at once");
	set_host_list(&own, 1, 16, t);
	TEST_CHECK(IS_PART(parts_at(&own, t + 50 * S), 20),
	    "a lower host count does not apply yet");
	t += 70 * S;
	TEST_CHECK(IS_PART(parts_at(&own, t), 16),
	    "a lower host count applies after the delay");
	loom_ownership_set_slots(&own, 32, t);
	TEST_CHECK(IS_PART(parts_at(&own, t), 32),
	    "a higher slot count applies at once");
	loom_ownership_set_slots(&own, 16, t);
	TEST_CHECK(IS_PART(parts_at(&own, t + 50 * S), 32),
	    "a lower slot count does not apply yet");
	t += 70 * S;
	TEST_CHECK(IS_PART(parts_at(&own, t), 16),
	    "a lower slot count applies after the delay");
	/* paused for longer than the list lag: may have been replaced */
	t += 11 * S;
	TEST_CHECK(loom_ownership_parts(&own, t) == 0, "resumed after a pause");
	TEST_CHECK(parts_at(&own, t + 13 * S) == 0, "may have been replaced");
	TEST_CHECK(IS_PART(parts_at(&own, t + 14 * S), 16), "was not replaced");
	set_host_list(&own, 2, 16, t + 14 * S);
	TEST_CHECK(parts_at(&own, t + 14 * S) == 0, "removed from the list");
	loom_ownership_clear(&own);
}

/*
 * In a large fleet the loans of a host's previous process run longer. A daemon
 * that starts waits for their end, whether it learns the size from the slots or
 * from the list.
 */
static void
test_large_fleet(void)
{
	static const struct {
		unsigned slots, hosts;
		/* includes the list lag if there are more hosts than slots */
		unsigned waits_s;
	} cases[] = { { 1024, 64, 3 }, { 1025, 2, 7 }, { 1025, 1025, 7 },
		{ 2, 1025, 17 } };
	struct loom_ownership own;
	uint64_t t = START_US;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		loom_ownership_init(&own, 1, LAG_US);
		loom_ownership_set_slots(&own, cases[i].slots, t);
		set_host_list(&own, 1, cases[i].hosts, t);
		TEST_CHECK(
		    parts_at(&own, t + cases[i].waits_s * S) == 0, "%zu", i);
		TEST_CHECK(parts_at(&own, t + (cases[i].waits_s + 1) * S) > 0,
		    "%zu", i);
		loom_ownership_clear(&own);
	}
}

/*
 * Guards against daemons forgetting hosts because the list does not change.
 * Lists are announced only when they change, and each daemon dropped all hosts,
 * itself included, that had not been announced for a minute. Without declared
 * slots each then owned the whole, and a team's callers got up to n times its
 * rate.
 */
static void
test_unchanged_list(void)
{
	static const unsigned waits_s[] = { 59, 61, 600 };
	struct loom_ownership own;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(waits_s); i++) {
		loom_ownership_init(&own, 1, LAG_US);
		set_host_list(&own, 1, 16, START_US);
		TEST_CHECK(
		    IS_PART(parts_at(&own, START_US + waits_s[i] * S), 16),
		    "after %u s", waits_s[i]);
		set_host_list(&own, 1, 14, START_US + waits_s[i] * S);
		TEST_CHECK(
		    IS_PART(
			parts_at(&own, START_US + (waits_s[i] + 59) * S), 16),
		    "removed after %u s, still counted", waits_s[i]);
		TEST_CHECK(
		    IS_PART(
			parts_at(&own, START_US + (waits_s[i] + 61) * S), 14),
		    "removed after %u s, no longer counted", waits_s[i]);
		loom_ownership_clear(&own);
	}
}

/*
 * A network partition outlasts the registrations of a third of a fleet, and
 * these hosts return to the list when it ends. Guards against making them wait
 * as after a start, which refused their callers although no previous process
 * can have lent anything. Each case names what a host has to wait for.
 */
static void
test_relisted_host(void)
{
	static const struct {
		const char *what;
		uint64_t owned_us; /* between the first list and the removal */
		uint64_t newcomer_us; /* 0: the list lag */
		uint64_t waits_us; /* from its return to the list */
	} cases[] = {
		{ "list lag: others must count it", 20 * S, 0, LAG_US },
		{ "others count it soon", 20 * S, S / 10, S / 10 },
		{ "it had not owned a share yet", 2 * S, S / 10,
		    LOOM_OWN_WITHHELD_US + S / 10 },
	};
	struct loom_ownership own;
	uint64_t t;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		loom_ownership_init(&own, 1, LAG_US);
		if (cases[i].newcomer_us != 0)
			own.newcomer_us = cases[i].newcomer_us;
		set_host_list(&own, 1, 16, START_US);
		t = START_US + cases[i].owned_us;
		parts_at(&own, t);
		set_host_list(&own, 2, 15, t);
		t += 5 * S;
		TEST_CHECK(
		    parts_at(&own, t) == 0, "%s: not listed", cases[i].what);
		set_host_list(&own, 1, 16, t);
		TEST_CHECK(parts_at(&own, t + cases[i].waits_us - 1) == 0,
		    "%s: waits", cases[i].what);
		TEST_CHECK(IS_PART(parts_at(&own, t + cases[i].waits_us), 16),
		    "%s: owns", cases[i].what);
		loom_ownership_clear(&own);
	}
}

static bool
is_not_silent(void *arg, uint64_t host_id)
{
	return host_id != *(const uint64_t *)arg;
}

static struct loom_pool_choice
choose_with_children(const struct loom_hosts *hosts, uint64_t id,
    const struct loom_pool_children *below, unsigned dcs, unsigned regions,
    uint64_t silent)
{
	char dc[16], region[16];
	struct loom_self self = {
		.data_centre = dc, .region = region, .host_id = id
	};

	g_snprintf(dc, sizeof(dc), "dc%u", (unsigned)id % dcs);
	g_snprintf(region, sizeof(region), "r%u", (unsigned)id % regions);
	return loom_pool_choose(hosts, &self, 0, below, is_not_silent, &silent);
}

static struct loom_pool_choice
choose(const struct loom_hosts *hosts, uint64_t id, unsigned dcs,
    unsigned regions, uint64_t silent)
{
	const struct loom_pool_children nobody = { 0 };

	return choose_with_children(hosts, id, &nobody, dcs, regions, silent);
}

/*
 * Each daemon reaches the root in at most as many steps as there are stages,
 * and there is a single root and no cycle.
 */
static void
test_pools(void)
{
	static const struct {
		unsigned hosts, dcs, regions;
		uint32_t stages;
	} cases[] = {
		{ 1, 1, 1, 1 },
		{ 16, 3, 1, 1 },
		{ 64, 3, 1, 1 },
		{ 65, 3, 1, 2 },
		{ 400, 20, 10, 2 },
		{ 1200, 20, 10, 3 },
		{ 1700, 20, 10, 4 },
	};
	struct loom_pool_choice choice;
	struct loom_hosts *hosts;
	unsigned i, id, steps, top;
	uint64_t at;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		hosts = make_hosts(
		    1, cases[i].hosts, cases[i].dcs, cases[i].regions);
		top = 0;
		for (id = 1; id <= MIN(cases[i].hosts, 200); id++) {
			at = id;
			for (steps = 0; steps < 9; steps++) {
				choice = choose(hosts, at, cases[i].dcs,
				    cases[i].regions, 0);
				if (choice.parent_host_id == 0)
					break;
				at = choice.parent_host_id;
			}
			TEST_CHECK(choice.stages == cases[i].stages,
			    "%u hosts: %u stages", cases[i].hosts,
			    choice.stages);
			TEST_CHECK(steps <= choice.stages, "%u", steps);
			TEST_CHECK(top == 0 || top == at, "two roots");
			top = (unsigned)at;
		}
		loom_hosts_release(hosts);
	}
}

/*
 * The largest number of children of a pool in a data centre of 850 hosts. It
 * varies, since a hash assigns hosts to groups.
 */
static void
test_children(void)
{
	enum {
		HOSTS = 850
	};
	struct loom_hosts *hosts = make_hosts(1, HOSTS, 1, 1);
	static unsigned children[HOSTS + 1];
	unsigned id, most = 0;

	memset(children, 0, sizeof(children));
	for (id = 1; id <= HOSTS; id++)
		children[choose(hosts, id, 1, 1, 0).parent_host_id]++;
	for (id = 1; id <= HOSTS; id++)
		most = MAX(most, children[id]);
	TEST_CHECK(most <= 45, "%u children", most);
	TEST_CHECK(children[0] == 1, "%u roots", children[0]);
	loom_hosts_release(hosts);
}

/*
 * A silent pool is replaced by the next candidate but stays the preferred one,
 * so that it is tried again.
 */
static void
test_silent_pool(void)
{
	struct loom_hosts *hosts = make_hosts(1, 16, 3, 1);
	struct loom_pool_choice first, next;
	uint64_t id = 1;

	first = choose(hosts, id, 3, 1, 0);
	if (first.parent_host_id == 0)
		first = choose(hosts, ++id, 3, 1, 0);
	next = choose(hosts, id, 3, 1, first.parent_host_id);
	CU_ASSERT_NOT_EQUAL(next.parent_host_id, first.parent_host_id);
	CU_ASSERT_EQUAL(next.preferred_host_id, first.parent_host_id);
	loom_hosts_release(hosts);
}

#define VIEWS_HOSTS 120
#define VIEWS_DCS 4
#define VIEWS_ROUNDS 8
#define VIEWS_SEEDS 20

/* In each host's list one host in eight, perhaps itself, is leaving. */
static void
make_random_views(
    struct loom_hosts *views[VIEWS_HOSTS + 1], struct loom_random *random)
{
	unsigned id;
	uint32_t i;

	for (id = 1; id <= VIEWS_HOSTS; id++) {
		views[id] = make_hosts(1, VIEWS_HOSTS, VIEWS_DCS, 1);
		for (i = 0; i < views[id]->nhosts; i++) {
			if (loom_random_below(random, 8) == 0)
				views[id]->hosts[i].state = LOOM_HOST_LEAVING;
		}
	}
}

/* All choose a pool given the children of the previous round. */
static void
choose_round(struct loom_hosts *const views[VIEWS_HOSTS + 1],
    struct loom_pool_choice choices[VIEWS_HOSTS + 1])
{
	struct loom_pool_children below[VIEWS_HOSTS + 1] = { 0 };
	uint64_t parent;
	unsigned id;

	for (id = 1; id <= VIEWS_HOSTS; id++) {
		parent = choices[id].parent_host_id;
		if (parent == 0)
			continue;
		below[parent].any = true;
		below[parent].highest_stage =
		    MAX(below[parent].highest_stage, choices[id].stage);
	}
	for (id = 1; id <= VIEWS_HOSTS; id++)
		choices[id] = choose_with_children(
		    views[id], id, &below[id], VIEWS_DCS, 1, 0);
}

/*
 * Each daemon has its own list: some have not heard of a host, some know that a
 * host leaves before that host does. Guards against cycles: once each daemon
 * knows its children, every path upwards must end. Two daemons that forwarded
 * requests to each other would refuse calls that their children are entitled
 * to.
 */
static void
test_differing_views(void)
{
	struct loom_pool_choice choices[VIEWS_HOSTS + 1];
	struct loom_hosts *views[VIEWS_HOSTS + 1];
	struct loom_random random;
	unsigned seed, round, id, steps;
	uint64_t at;

	for (seed = 1; seed <= VIEWS_SEEDS; seed++) {
		random = test_random_new(seed);
		memset(choices, 0, sizeof(choices));
		make_random_views(views, &random);
		for (round = 0; round < VIEWS_ROUNDS; round++)
			choose_round(views, choices);
		for (id = 1; id <= VIEWS_HOSTS; id++) {
			at = id;
			for (steps = 0; at != 0 && steps < VIEWS_HOSTS; steps++)
				at = choices[at].parent_host_id;
			TEST_CHECK(at == 0, "seed %u: a cycle above host %u",
			    seed, id);
		}
		for (id = 1; id <= VIEWS_HOSTS; id++)
			loom_hosts_release(views[id]);
		test_random_free(&random);
	}
}

static const struct test_case tests[] = {
	{ "owned share", test_parts },
	{ "a large fleet", test_large_fleet },
	{ "unchanged list", test_unchanged_list },
	{ "back on the list", test_relisted_host },
	{ "pools", test_pools },
	{ "children of a pool", test_children },
	{ "silent pool", test_silent_pool },
	{ "views that differ", test_differing_views },
};

TEST_MAIN("ownership", tests)
