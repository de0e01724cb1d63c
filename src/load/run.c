/*
 * Event loop of a run: one thread, with one timer per team.
 */

#include <string.h>

#include "load/arrivals.h"
#include "load/request.h"
#include "load/run.h"
#include "loom/clock.h"

/* Distance between the seeds of the random generators.  Each team has its own
 * generators, so a team appended to the settings does not change the arrivals
 * of the others. */
#define SEED_STEP 7919U

struct team_run {
	struct load_client *client; /* borrowed */
	uint32_t index;
	const struct load_team *team; /* borrowed */
	struct load_arrivals arrivals;
	GRand *arrivals_rand; /* owned */
	GRand *routes_rand; /* owned */
	double total_weight;
	uint64_t next_us; /* the next arrival; LOAD_NEVER if none */
};

static bool
is_team(const struct load_settings *settings, const char *name)
{
	guint i;

	for (i = 0; i < settings->teams->len; i++) {
		if (strcmp(g_array_index(settings->teams, struct load_team, i)
			       .name,
			name) == 0)
			return true;
	}
	return false;
}

static double
sum_weights(const struct load_team *team)
{
	double sum = 0;
	guint i;

	for (i = 0; i < team->routes->len; i++)
		sum += g_array_index(team->routes, struct load_route, i).weight;
	return sum;
}

bool
load_settings_check(const struct load_settings *settings, const char *file,
    struct loom_problem **problems)
{
	const struct load_surge *surge;
	const struct load_team *team;
	size_t before = loom_problems_count(*problems);
	guint i;

	if (settings->entries[0] == NULL)
		loom_problem_add(problems, LOOM_SETTING_RANGE, file,
		    "entries names no daemon");
	for (i = 0; i < settings->teams->len; i++) {
		team = &g_array_index(settings->teams, struct load_team, i);
		if (sum_weights(team) <= 0)
			loom_problem_add(problems, LOOM_SETTING_RANGE, file,
			    "team %s has no route with a weight", team->name);
	}
	for (i = 0; i < settings->surges->len; i++) {
		surge = &g_array_index(settings->surges, struct load_surge, i);
		if (!is_team(settings, surge->team) ||
		    surge->from_ms >= surge->until_ms)
			loom_problem_add(problems, LOOM_SETTING_RANGE, file,
			    "surge %u has no such team, or ends before it "
			    "begins",
			    i + 1);
	}
	return loom_problems_count(*problems) == before;
}

/* Picks a random route by weight. */
static const struct load_route *
pick_route(struct team_run *run)
{
	double left = g_rand_double(run->routes_rand) * run->total_weight;
	const struct load_route *route = NULL;
	guint i;

	for (i = 0; i < run->team->routes->len; i++) {
		route = &g_array_index(run->team->routes, struct load_route, i);
		left -= route->weight;
		if (left < 0)
			break;
	}
	return route;
}

static void
schedule_next(struct team_run *run)
{
	const struct load_settings *settings = run->client->settings;

	run->next_us = load_arrivals_next(&run->arrivals);
	if (run->next_us >= settings->duration_ms * LOOM_US_PER_MS)
		run->next_us = LOAD_NEVER;
}

static bool
reached_request_limit(const struct load_client *client)
{
	return client->settings->requests > 0 &&
	    client->last_number >= client->settings->requests;
}

static void set_timer(struct team_run *run);

static void
on_arrival_timer(void *arg)
{
	struct team_run *run = arg;
	uint64_t now_us = loom_now_us() - run->client->start_us;

	while (run->next_us <= now_us && !reached_request_limit(run->client)) {
		load_request_start(
		    run->client, run->index, pick_route(run), run->next_us);
		schedule_next(run);
	}
	if (reached_request_limit(run->client))
		run->next_us = LOAD_NEVER;
	set_timer(run);
}

static void
set_timer(struct team_run *run)
{
	uint64_t now_us = loom_now_us() - run->client->start_us;
	uint64_t wait_us;

	if (run->next_us == LOAD_NEVER)
		return;
	wait_us = run->next_us > now_us ? run->next_us - now_us : 0;
	if (loom_timer_add(run->client->timers, run->client, wait_us,
		on_arrival_timer, run) == NULL)
		run->next_us = LOAD_NEVER;
}

static void
start_team(struct team_run *run, struct load_client *client, uint32_t index)
{
	const struct load_settings *settings = client->settings;
	const uint32_t seed = settings->seed + 2 * index * SEED_STEP;

	*run = (struct team_run){
		.client = client,
		.index = index,
		.team =
		    &g_array_index(settings->teams, struct load_team, index),
		.arrivals_rand = g_rand_new_with_seed(seed),
		.routes_rand = g_rand_new_with_seed(seed + SEED_STEP),
	};
	run->total_weight = sum_weights(run->team);
	run->arrivals = (struct load_arrivals){
		.rand = run->arrivals_rand,
		.team = run->team->name,
		.rate_per_s = run->team->rate_per_s,
		.surges = (const struct load_surge *)settings->surges->data,
		.nsurges = settings->surges->len,
	};
	schedule_next(run);
	set_timer(run);
}

static bool
is_finished(const struct load_client *client, const struct team_run *runs)
{
	guint i;

	if (client->in_flight > 0)
		return false;
	for (i = 0; i < client->settings->teams->len; i++) {
		if (runs[i].next_us != LOAD_NEVER)
			return false;
	}
	return true;
}

static void
run_teams(struct load_client *client)
{
	const guint n = client->settings->teams->len;
	struct team_run *runs = g_new0(struct team_run, n);
	guint i;

	for (i = 0; i < n; i++)
		start_team(&runs[i], client, i);
	while (!is_finished(client, runs) && tevent_loop_once(client->ev) == 0)
		continue;
	for (i = 0; i < n; i++) {
		g_rand_free(runs[i].arrivals_rand);
		g_rand_free(runs[i].routes_rand);
	}
	g_free(runs);
}

bool
load_run(const struct load_settings *settings, struct load_results *results,
    GError **error)
{
	struct load_client *client = talloc_zero(NULL, struct load_client);
	struct loom_sockets *sockets = NULL;
	bool ok = false;

	client->settings = settings;
	client->results = results;
	client->ev = tevent_context_init(client);
	if (client->ev != NULL) {
		client->timers = loom_timers_new(client, client->ev);
		sockets = loom_sockets_new(client, client->ev);
	}
	if (client->timers != NULL && sockets != NULL)
		client->fetcher = loom_fetcher_new(client, client->ev, sockets);
	if (client->fetcher == NULL) {
		loom_set_error(
		    error, LOOM_START, "no event loop or HTTP client");
		goto error;
	}
	client->rand = g_rand_new_with_seed(settings->seed);
	client->start_us = loom_now_us();
	/* A ledger may contain several runs, so ids must differ between runs.
	 */
	g_snprintf(client->id_prefix, sizeof(client->id_prefix),
	    "l%" G_GINT64_MODIFIER "x", loom_wall_ns());
	run_teams(client);
	g_rand_free(client->rand);
	ok = true;
error:
	talloc_free(client);
	return ok;
}
