/*
 * Blame for crashes: scripted calls at one upstream, and simulated load on
 * several hosts with requests that crash their upstreams.
 */

#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "decide/suspects.h"
#include "loom/clock.h"
#include "support/test.h"

#define SECOND LOOM_US_PER_S
#define STEP_US (10 * LOOM_US_PER_MS)
#define SUSPECT_US (600 * SECOND)
#define QUARANTINE_US (1800 * SECOND)

static struct loom_fingerprint
fingerprint_of(unsigned n)
{
	struct loom_fingerprint fingerprint = { { 0 } };

	n++; /* all zeros stand for no fingerprint */
	memcpy(fingerprint.bytes, &n, sizeof(n));
	return fingerprint;
}

/*
 * Each character of a script is one step:
 *
 * a        the call enters
 * A        it gets a complete answer
 * -a       its caller gives up
 * =a       it could not connect
 * !        the upstream crashes and all calls in flight break; if there
 *          are none, the upstream is found down
 * ?a       a reports a crash, alone
 * @a       a peer reports a as a strong suspect with two crashes
 * %        the upstream is running again already
 * ~        the clock goes back by 1 ms
 * .        500 ms pass
 * +        a minute passes
 * <        31 minutes pass
 * >        an hour passes
 *
 * A test case checks the verdict for the last call that entered and the levels
 * of a, b and c at the end.
 */
struct script_state {
	struct suspects suspects;
	struct loom_quarantine_entry *entries[26];
	enum loom_quarantine_verdict last;
	uint64_t now_us;
};

static void
leave(struct script_state *state, int i, enum loom_quarantine_result end)
{
	if (state->entries[i] != NULL)
		suspects_leave(
		    &state->suspects, state->entries[i], end, state->now_us);
	state->entries[i] = NULL;
}

static void
crash(struct script_state *state)
{
	bool any = false;
	int i;

	for (i = 0; i < 26; i++) {
		if (state->entries[i] == NULL)
			continue;
		any = true;
		suspects_crashed(
		    &state->suspects, state->entries[i], state->now_us);
		leave(state, i, LOOM_QUARANTINE_INCOMPLETE);
	}
	if (!any)
		suspects_unreachable(&state->suspects, NULL, state->now_us);
	state->now_us += SECOND;
}

static void
cannot_connect(struct script_state *state, int i)
{
	if (state->entries[i] != NULL)
		suspects_unreachable(
		    &state->suspects, state->entries[i], state->now_us);
	leave(state, i, LOOM_QUARANTINE_NOT_SENT);
}

static void
run_script(struct script_state *state, const char *script)
{
	struct loom_fingerprint fingerprint;
	int i;

	for (; *script != '\0'; script++) {
		if (*script == '!') {
			crash(state);
		} else if (*script == '?') {
			suspects_crashed(&state->suspects,
			    state->entries[*++script - 'a'], state->now_us);
		} else if (*script == '@') {
			fingerprint =
			    fingerprint_of((unsigned)(*++script - 'a'));
			suspect_records_merge(&state->suspects.records,
			    &fingerprint, SUSPECT_STRONG, 2, SUSPECT_US,
			    state->now_us);
		} else if (*script == '=') {
			cannot_connect(state, *++script - 'a');
		} else if (*script == '%') {
			suspects_fast_restart(&state->suspects, state->now_us);
		} else if (*script == '~') {
			state->now_us -= LOOM_US_PER_MS;
		} else if (*script == '.') {
			state->now_us += SECOND / 2;
		} else if (*script == '+') {
			state->now_us += 60 * SECOND;
		} else if (*script == '<') {
			state->now_us += 31 * 60 * SECOND;
		} else if (*script == '>') {
			state->now_us += 3600 * SECOND;
		} else if (*script == '-') {
			leave(
			    state, *++script - 'a', LOOM_QUARANTINE_INCOMPLETE);
		} else if (g_ascii_islower(*script)) {
			i = *script - 'a';
			fingerprint = fingerprint_of((unsigned)i);
			state->last = suspects_enter(&state->suspects,
			    &fingerprint, state->now_us, &state->entries[i]);
		} else {
			leave(state, *script - 'A', LOOM_QUARANTINE_ANSWERED);
		}
	}
}

/*
 * A request crashes its upstream and its caller sends it again. The requests
 * that were in flight with it must be served, and it must stop being run.
 */
static void
test_blame(void)
{
	static const struct {
		const char *name;
		const char *script;
		enum loom_quarantine_verdict last;
		/* of a, b and c: - none, w weak, s strong, q quarantined */
		const char *levels;
	} cases[] = {
		{ "no crash", "abcABC", LOOM_QUARANTINE_PASS, "---" },
		{ "all calls in flight become suspects", "ab!",
		    LOOM_QUARANTINE_PASS, "ww-" },
		{ "answered before the crash", "abA!", LOOM_QUARANTINE_PASS,
		    "-s-" },
		{ "suspects run one at a time", "ab!ab", LOOM_QUARANTINE_HOLD,
		    "ww-" },
		{ "the next suspect runs after an answer", "ab!aAb",
		    LOOM_QUARANTINE_PASS, "-w-" },
		{ "requests without suspicion run concurrently", "ab!acb",
		    LOOM_QUARANTINE_HOLD, "ww-" },
		{ "an answer clears a suspect", "ab!aAbB", LOOM_QUARANTINE_PASS,
		    "---" },
		{ "in flight at a second crash", "ab!bBac!",
		    LOOM_QUARANTINE_PASS, "s-w" },
		{ "a strong suspect has to wait", "ab!bBac!cCa",
		    LOOM_QUARANTINE_RETRY_LATER, "s--" },
		{ "the upstream is quiesced for a strong suspect",
		    "ab!bBac!+cCba", LOOM_QUARANTINE_HOLD, "s--" },
		{ "quiescing holds other calls back", "ab!bBac!+cCbac",
		    LOOM_QUARANTINE_HOLD, "s--" },
		{ "quiescing ends after half a second", "ab!bBac!+cCba.c",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "not quiesced in time, runs with other calls",
		    "ab!bBac!+cCba.a", LOOM_QUARANTINE_PASS, "s--" },
		{ "runs with other calls and is cleared", "ab!bBac!+cCba.aA",
		    LOOM_QUARANTINE_PASS, "---" },
		{ "runs with other calls, crashes and waits longer",
		    "ab!bBac!+cCba.a!b", LOOM_QUARANTINE_PASS, "sw-" },
		{ "the upstream crashes spontaneously", "!!a!+a!",
		    LOOM_QUARANTINE_PASS, "q--" },
		{ "the upstream crashes spontaneously again", "!a!.!a!",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "no call joins a strong suspect", "ab!bBac!+cCab",
		    LOOM_QUARANTINE_HOLD, "s--" },
		{ "third crash, alone", "ab!bBac!+cCa!a",
		    LOOM_QUARANTINE_REFUSE, "q--" },
		{ "second crash, alone", "ab!a!a", LOOM_QUARANTINE_REFUSE,
		    "qw-" },
		{ "alone at its first crash, as in a manual restart", "a!+a",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "an answer clears a strong suspect", "a!+aA",
		    LOOM_QUARANTINE_PASS, "---" },
		{ "two workers report one crash", "ab?a!", LOOM_QUARANTINE_PASS,
		    "ww-" },
		{ "reported again after b has begun", "a?ab!",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "reported by a worker that read its clock earlier", "a?a~b!",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "two culprits: a's second run meets a new b", "ac!abC!",
		    LOOM_QUARANTINE_PASS, "sww" },
		{ "an abandoned call may be the culprit", "ac!a-ac!",
		    LOOM_QUARANTINE_PASS, "s-s" },
		{ "alone except for an abandoned call", "a!+c-ca!",
		    LOOM_QUARANTINE_PASS, "s-w" },
		{ "abandoned long before", "a!c-c+a!", LOOM_QUARANTINE_PASS,
		    "q--" },
		{ "down for long, calls that cannot connect are not blamed",
		    "ab!c=c+c=c+c=c+c", LOOM_QUARANTINE_PASS, "ww-" },
		{ "failed connections do not raise a suspect's level",
		    "ab!a=a+a=a+a=a+a", LOOM_QUARANTINE_PASS, "ww-" },
		{ "failed connections are not a spontaneous crash",
		    "ab!c=c+aA.a!+a!a", LOOM_QUARANTINE_REFUSE, "qw-" },
		{ "cannot connect, first to detect a crash of others",
		    "abc=ca!", LOOM_QUARANTINE_PASS, "ww-" },
		{ "broken kept connection after the crash is not an abandoned call",
		    "a?a-ab?b-b...........a!a", LOOM_QUARANTINE_REFUSE, "q--" },
		{ "found down, an abandoned call may be the culprit", "a-ab=b",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "a run begun before the report does not double the wait",
		    "ab!bBac@a!...................a", LOOM_QUARANTINE_PASS,
		    "s-w" },
		{ "fast restart, suspects wait", "ab!%a", LOOM_QUARANTINE_HOLD,
		    "ww-" },
		{ "fast restart, suspects wait for half a second", "ab!%.a",
		    LOOM_QUARANTINE_PASS, "ww-" },
		{ "fast restart, other requests do not wait", "ab!%c",
		    LOOM_QUARANTINE_PASS, "ww-" },
		{ "a suspicion expires", "ab!>ab", LOOM_QUARANTINE_PASS,
		    "---" },
		{ "an expired quarantine leaves a strong suspect", "a!+a!<a",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "that suspicion expires too", "a!+a!>a", LOOM_QUARANTINE_PASS,
		    "---" },
	};
	static const char letters[] = "-wsq";
	struct script_state state;
	struct loom_fingerprint fingerprint;
	enum suspect_level level;
	unsigned n;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&state, 0, sizeof(state));
		state.now_us = SECOND;
		suspects_init(&state.suspects, SUSPECT_US, QUARANTINE_US, 64);
		run_script(&state, cases[i].script);
		TEST_CHECK(state.last == cases[i].last, "%s: %d", cases[i].name,
		    state.last);
		for (n = 0; n < 3; n++) {
			fingerprint = fingerprint_of(n);
			level = suspects_level(
			    &state.suspects, &fingerprint, state.now_us);
			TEST_CHECK(letters[level] == cases[i].levels[n],
			    "%s: %c is %c", cases[i].name, 'a' + n,
			    letters[level]);
		}
		for (n = 0; n < 26; n++)
			leave(&state, (int)n, LOOM_QUARANTINE_NOT_SENT);
		suspects_clear(&state.suspects);
	}
}

#define HOSTS 4
#define SLOTS 12
#define CULPRITS 2
#define INNOCENTS 40
#define FINGERPRINTS (CULPRITS + INNOCENTS)
#define SIM_US (180 * SECOND)
/*
 * Served calls are counted in the last minute. Without culprits these would be
 * about 240 for each innocent request, 9600 in total.
 */
#define SERVED_FROM_US (120 * SECOND)
#define SERVED_MIN 20
#define SERVED_TOTAL_MIN 5760

/* A call executed by an upstream. It continues if its caller gives up. */
struct call {
	struct loom_quarantine_entry *entry;
	/* below CULPRITS: the call crashes its upstream when it ends */
	unsigned fingerprint_index;
	uint64_t ends_us;
	uint64_t abandoned_us;
};

/* A report between hosts that has not arrived yet. */
struct report {
	uint64_t due_us;
	unsigned to;
	unsigned fingerprint_index;
	enum suspect_level level; /* SUSPECT_NONE: cleared */
	uint8_t crash_count;
	uint64_t remaining_us;
};

/* A call with the verdict LOOM_QUARANTINE_HOLD. */
struct waiting_call {
	unsigned fingerprint_index;
	uint64_t expires_us;
};

struct host {
	struct suspects suspects;
	GArray *waiting_calls;
	struct call calls[SLOTS];
	unsigned ncalls;
};

struct sim {
	struct host hosts[HOSTS];
	struct loom_random random;
	GArray *reports;
	uint64_t now_us;
	uint64_t report_delay_us; /* maximum delay */
	double loss;
	unsigned crashes[CULPRITS];
	unsigned served[FINGERPRINTS];
	unsigned quarantined; /* innocent requests; must stay 0 */
};

static void
send_reports(struct sim *sim, unsigned from, unsigned fingerprint_index,
    const struct suspect_record *record)
{
	struct report report = { .fingerprint_index = fingerprint_index };

	if (record != NULL) {
		report.level = record->level;
		report.crash_count = record->crash_count;
		report.remaining_us = record->expires_us - sim->now_us;
	}

	for (report.to = 0; report.to < HOSTS; report.to++) {
		if (report.to == from ||
		    loom_random_unit(&sim->random) < sim->loss)
			continue;
		report.due_us = sim->now_us +
		    loom_random_below(&sim->random, sim->report_delay_us + 1);
		g_array_append_val(sim->reports, report);
	}
}

static void
deliver_reports(struct sim *sim)
{
	struct loom_fingerprint fingerprint;
	struct report report;
	guint i = 0;

	while (i < sim->reports->len) {
		report = g_array_index(sim->reports, struct report, i);
		if (report.due_us > sim->now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->reports, i);
		fingerprint = fingerprint_of(report.fingerprint_index);
		if (report.level == SUSPECT_NONE)
			suspect_records_remove(
			    &sim->hosts[report.to].suspects.records,
			    &fingerprint);
		else
			suspect_records_merge(
			    &sim->hosts[report.to].suspects.records,
			    &fingerprint, report.level, report.crash_count,
			    report.remaining_us, sim->now_us);
	}
}

/* Returns true if the call has to wait. */
static bool
arrive(struct sim *sim, unsigned h, unsigned fingerprint_index)
{
	struct loom_fingerprint fingerprint = fingerprint_of(fingerprint_index);
	struct host *host = &sim->hosts[h];
	struct call call = { .fingerprint_index = fingerprint_index };
	enum loom_quarantine_verdict verdict;
	uint64_t length_us;

	if (host->ncalls == SLOTS)
		return false;
	verdict = suspects_enter(
	    &host->suspects, &fingerprint, sim->now_us, &call.entry);
	sim->quarantined +=
	    verdict == LOOM_QUARANTINE_REFUSE && fingerprint_index >= CULPRITS;
	if (verdict != LOOM_QUARANTINE_PASS)
		return verdict == LOOM_QUARANTINE_HOLD;
	length_us = loom_random_below(&sim->random, SECOND / 5) + STEP_US;
	if (loom_random_unit(&sim->random) < 0.02)
		length_us *= 20;
	call.ends_us = sim->now_us + length_us;
	call.abandoned_us = UINT64_MAX;
	if (loom_random_unit(&sim->random) < 0.1)
		call.abandoned_us = sim->now_us + length_us / 2;
	host->calls[host->ncalls++] = call;
	return false;
}

static void
arrive_or_wait(struct sim *sim, unsigned h, unsigned fingerprint_index)
{
	struct waiting_call waiting_call = { fingerprint_index,
		sim->now_us + 2 * SECOND };

	if (arrive(sim, h, fingerprint_index))
		g_array_append_val(sim->hosts[h].waiting_calls, waiting_call);
}

static void
retry_waiting(struct sim *sim, unsigned h)
{
	GArray *waiting_calls = sim->hosts[h].waiting_calls;
	const struct waiting_call *waiting;
	guint i = 0;

	while (i < waiting_calls->len) {
		waiting = &g_array_index(waiting_calls, struct waiting_call, i);
		if (waiting->expires_us > sim->now_us &&
		    arrive(sim, h, waiting->fingerprint_index))
			i++;
		else
			g_array_remove_index(waiting_calls, i);
	}
}

static void
host_crashes(struct sim *sim, unsigned h)
{
	struct host *host = &sim->hosts[h];
	const struct suspect_record *record;
	struct loom_fingerprint fingerprint;
	bool any = false;
	unsigned i;

	for (i = 0; i < host->ncalls; i++) {
		if (host->calls[i].entry == NULL)
			continue;
		any = true;
		suspects_crashed(
		    &host->suspects, host->calls[i].entry, sim->now_us);
		suspects_leave(&host->suspects, host->calls[i].entry,
		    LOOM_QUARANTINE_INCOMPLETE, sim->now_us);
	}
	if (!any)
		suspects_unreachable(&host->suspects, NULL, sim->now_us);
	host->ncalls = 0;
	for (i = 0; i < FINGERPRINTS; i++) {
		fingerprint = fingerprint_of(i);
		record = g_hash_table_lookup(
		    host->suspects.records.table, &fingerprint);
		if (record != NULL && record->expires_us > sim->now_us)
			send_reports(sim, h, i, record);
	}
}

static void
advance(struct sim *sim, unsigned h)
{
	struct host *host = &sim->hosts[h];
	struct call *call;
	unsigned i = 0;

	while (i < host->ncalls) {
		call = &host->calls[i];
		if (call->entry != NULL && call->abandoned_us <= sim->now_us) {
			suspects_leave(&host->suspects, call->entry,
			    LOOM_QUARANTINE_INCOMPLETE, sim->now_us);
			call->entry = NULL;
		}
		if (call->ends_us > sim->now_us) {
			i++;
			continue;
		}
		if (call->fingerprint_index < CULPRITS) {
			sim->crashes[call->fingerprint_index]++;
			host_crashes(sim, h);
			return;
		}
		sim->served[call->fingerprint_index] +=
		    sim->now_us > SERVED_FROM_US;
		if (call->entry != NULL &&
		    suspects_leave(&host->suspects, call->entry,
			LOOM_QUARANTINE_ANSWERED, sim->now_us))
			send_reports(sim, h, call->fingerprint_index, NULL);
		*call = host->calls[--host->ncalls];
	}
}

static void
sim_step(struct sim *sim)
{
	unsigned h;

	sim->now_us += STEP_US;
	deliver_reports(sim);
	for (h = 0; h < HOSTS; h++) {
		advance(sim, h);
		retry_waiting(sim, h);
		if (loom_random_unit(&sim->random) < 0.4)
			arrive_or_wait(sim, h,
			    CULPRITS +
				(unsigned)loom_random_below(
				    &sim->random, INNOCENTS));
		if (loom_random_unit(&sim->random) < 0.01)
			arrive_or_wait(sim, h,
			    (unsigned)loom_random_below(
				&sim->random, CULPRITS));
	}
}

static void
sim_run(struct sim *sim, uint32_t seed, uint64_t report_delay_us, double loss)
{
	unsigned h;

	memset(sim, 0, sizeof(*sim));
	sim->random = test_random_new(seed);
	sim->reports = g_array_new(FALSE, FALSE, sizeof(struct report));
	sim->now_us = SECOND;
	sim->report_delay_us = report_delay_us;
	sim->loss = loss;
	for (h = 0; h < HOSTS; h++) {
		suspects_init(
		    &sim->hosts[h].suspects, SUSPECT_US, QUARANTINE_US, 64);
		sim->hosts[h].waiting_calls =
		    g_array_new(FALSE, FALSE, sizeof(struct waiting_call));
	}
	while (sim->now_us < SIM_US)
		sim_step(sim);
	for (h = 0; h < HOSTS; h++) {
		suspects_clear(&sim->hosts[h].suspects);
		g_array_free(sim->hosts[h].waiting_calls, TRUE);
	}
	g_array_free(sim->reports, TRUE);
	test_random_free(&sim->random);
}

/*
 * Two callers repeatedly send requests that crash their upstreams, to any of
 * four busy hosts, for three minutes. One caller in ten gives up while the
 * upstream continues. No innocent request may be quarantined, each must
 * eventually be served, and the crashes must stop.
 */
static void
test_fleet(void)
{
	static const struct {
		const char *name;
		uint64_t report_delay_us;
		double loss;
		unsigned max_crashes; /* by one request */
	} cases[] = {
		{ "reports at once", 0, 0, 10 },
		{ "reports within half a second", SECOND / 2, 0, 12 },
		{ "half of the reports lost", SECOND / 2, 0.5, 20 },
		/* Each host has to find the culprits by itself. */
		{ "all reports lost", 0, 1, 8 * HOSTS },
	};
	unsigned i, seed, worst_crashes, n, total, min_served;
	struct sim sim;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		worst_crashes = 0;
		min_served = UINT_MAX;
		for (seed = 1; seed <= 30; seed++) {
			sim_run(&sim, seed, cases[i].report_delay_us,
			    cases[i].loss);
			TEST_CHECK(sim.quarantined == 0, "%s, seed %u: %u",
			    cases[i].name, seed, sim.quarantined);
			for (n = 0; n < CULPRITS; n++)
				worst_crashes =
				    MAX(worst_crashes, sim.crashes[n]);
			for (n = CULPRITS, total = 0; n < FINGERPRINTS; n++) {
				total += sim.served[n];
				TEST_CHECK(sim.served[n] > SERVED_MIN,
				    "%s, seed %u: %u served %u times",
				    cases[i].name, seed, n, sim.served[n]);
			}
			min_served = MIN(min_served, total);
		}
		printf("\npoint quarantine, %s: at most %u crashes by one "
		       "request, at least %u%% served in the last minute\n",
		    cases[i].name, worst_crashes, min_served / 96);
		TEST_CHECK(worst_crashes <= cases[i].max_crashes,
		    "%s: %u crashes", cases[i].name, worst_crashes);
		TEST_CHECK(min_served >= SERVED_TOTAL_MIN, "%s: %u served",
		    cases[i].name, min_served);
	}
}

static const struct test_case tests[] = {
	{ "scripts", test_blame },
	{ "fleet", test_fleet },
};

TEST_MAIN("suspects", tests)
