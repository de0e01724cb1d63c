/*
 * Who is blamed for a crash: scripts of what one upstream has in flight, and
 * a fleet under load with requests that crash it.
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
print_of(unsigned n)
{
	struct loom_fingerprint fingerprint = { { 0 } };

	n++; /* all zeros are nobody's fingerprint */
	memcpy(fingerprint.bytes, &n, sizeof(n));
	return fingerprint;
}

/*
 * A script is a run of steps: a lower-case letter enters, its capital gets a
 * whole answer, "-x" is given up on, "=x" could not connect, "!" is a crash
 * (all in flight break; with none the upstream is found gone), "?x" the word
 * of x alone, "@x" a peer's word of a strong x with two strikes, "%" says that
 * the upstream is back already, "~" sets the clock back a millisecond, "." lets
 * half a second pass, "+" a minute, "<" 31 minutes, ">" an hour.  The verdict
 * on the last letter's entry, and the levels of a, b and c at the end, are
 * checked.
 */
struct script_state {
	struct suspects suspects;
	struct loom_quarantine_entry *entries[26];
	enum loom_quarantine_verdict last;
	uint64_t now_us;
};

static void
leave(struct script_state *state, int i, enum loom_quarantine_end end)
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
		leave(state, i, LOOM_QUARANTINE_BROKEN);
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
play(struct script_state *state, const char *script)
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
			fingerprint = print_of((unsigned)(*++script - 'a'));
			suspect_records_told(&state->suspects.records,
			    &fingerprint, SUSPECT_STRONG, 2, SUSPECT_US,
			    state->now_us);
		} else if (*script == '=') {
			cannot_connect(state, *++script - 'a');
		} else if (*script == '%') {
			suspects_blind(&state->suspects, state->now_us);
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
			leave(state, *++script - 'a', LOOM_QUARANTINE_BROKEN);
		} else if (g_ascii_islower(*script)) {
			i = *script - 'a';
			fingerprint = print_of((unsigned)i);
			state->last = suspects_enter(&state->suspects,
			    &fingerprint, state->now_us, &state->entries[i]);
		} else {
			leave(state, *script - 'A', LOOM_QUARANTINE_ANSWERED);
		}
	}
}

/*
 * A request crashes its upstream and its caller sends it again.  Those that
 * were in flight beside it must be served, and it must stop coming.
 */
static void
test_scripts(void)
{
	static const struct {
		const char *name;
		const char *script;
		enum loom_quarantine_verdict last;
		const char *levels; /* of a, b, c: "-", weak, strong, quar. */
	} cases[] = {
		{ "nothing happened", "abcABC", LOOM_QUARANTINE_PASS, "---" },
		{ "all in flight are suspects", "ab!", LOOM_QUARANTINE_PASS,
		    "ww-" },
		{ "answered before the crash", "abA!", LOOM_QUARANTINE_PASS,
		    "-s-" },
		{ "suspects run one at a time", "ab!ab", LOOM_QUARANTINE_HOLD,
		    "ww-" },
		{ "and after each other", "ab!aAb", LOOM_QUARANTINE_PASS,
		    "-w-" },
		{ "clean ones run beside", "ab!acb", LOOM_QUARANTINE_HOLD,
		    "ww-" },
		{ "an answer clears", "ab!aAbB", LOOM_QUARANTINE_PASS, "---" },
		{ "in flight at the second", "ab!bBac!", LOOM_QUARANTINE_PASS,
		    "s-w" },
		{ "strong stays out for a while", "ab!bBac!cCa",
		    LOOM_QUARANTINE_LATER, "s--" },
		{ "the upstream is emptied for a strong one", "ab!bBac!+cCba",
		    LOOM_QUARANTINE_HOLD, "s--" },
		{ "which holds others back", "ab!bBac!+cCbac",
		    LOOM_QUARANTINE_HOLD, "s--" },
		{ "and not for long", "ab!bBac!+cCba.c", LOOM_QUARANTINE_PASS,
		    "s--" },
		{ "not emptied in time: in company", "ab!bBac!+cCba.a",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "and cleared", "ab!bBac!+cCba.aA", LOOM_QUARANTINE_PASS,
		    "---" },
		{ "or out for longer", "ab!bBac!+cCba.a!b",
		    LOOM_QUARANTINE_PASS, "sw-" },
		{ "the upstream comes down by itself", "!!a!+a!",
		    LOOM_QUARANTINE_PASS, "q--" },
		{ "again and again", "!a!.!a!", LOOM_QUARANTINE_PASS, "s--" },
		{ "nobody joins a strong one", "ab!bBac!+cCab",
		    LOOM_QUARANTINE_HOLD, "s--" },
		{ "third crash, alone", "ab!bBac!+cCa!a",
		    LOOM_QUARANTINE_REFUSE, "q--" },
		{ "second crash, alone", "ab!a!a", LOOM_QUARANTINE_REFUSE,
		    "qw-" },
		{ "alone at its first, as in a restart by hand", "a!+a",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "strong and answered", "a!+aA", LOOM_QUARANTINE_PASS, "---" },
		{ "two workers tell one crash", "ab?a!", LOOM_QUARANTINE_PASS,
		    "ww-" },
		{ "told again when b has begun", "a?ab!", LOOM_QUARANTINE_PASS,
		    "s--" },
		{ "told by a worker whose clock was read before", "a?a~b!",
		    LOOM_QUARANTINE_PASS, "s--" },
		{ "two culprits: a's second run meets a new b", "ac!abC!",
		    LOOM_QUARANTINE_PASS, "sww" },
		{ "the one given up on may be it", "ac!a-ac!",
		    LOOM_QUARANTINE_PASS, "s-s" },
		{ "alone but for what was given up on", "a!+c-ca!",
		    LOOM_QUARANTINE_PASS, "s-w" },
		{ "given up on long before", "a!c-c+a!", LOOM_QUARANTINE_PASS,
		    "q--" },
		{ "down for long: who cannot connect did not do it",
		    "ab!c=c+c=c+c=c+c", LOOM_QUARANTINE_PASS, "ww-" },
		{ "nor does that add to a suspect's strikes",
		    "ab!a=a+a=a+a=a+a", LOOM_QUARANTINE_PASS, "ww-" },
		{ "nor is it the upstream coming down by itself",
		    "ab!c=c+aA.a!+a!a", LOOM_QUARANTINE_REFUSE, "qw-" },
		{ "cannot connect, first to see a crash of others", "abc=ca!",
		    LOOM_QUARANTINE_PASS, "ww-" },
		{ "on a kept connection, after the crash: no ghost",
		    "a?a-ab?b-b...........a!a", LOOM_QUARANTINE_REFUSE, "q--" },
		{ "found gone, and what was given up on may have done it",
		    "a-ab=b", LOOM_QUARANTINE_PASS, "s--" },
		{ "the wait is not doubled by a run begun before the word",
		    "ab!bBac@a!...................a", LOOM_QUARANTINE_PASS,
		    "s-w" },
		{ "back at once: suspects wait", "ab!%a", LOOM_QUARANTINE_HOLD,
		    "ww-" },
		{ "and no longer than a crash counts as one", "ab!%.a",
		    LOOM_QUARANTINE_PASS, "ww-" },
		{ "clean ones do not", "ab!%c", LOOM_QUARANTINE_PASS, "ww-" },
		{ "suspicion ends", "ab!>ab", LOOM_QUARANTINE_PASS, "---" },
		{ "quarantine ends as strong", "a!+a!<a", LOOM_QUARANTINE_PASS,
		    "s--" },
		{ "and that ends too", "a!+a!>a", LOOM_QUARANTINE_PASS, "---" },
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
		play(&state, cases[i].script);
		TEST_CHECK(state.last == cases[i].last, "%s: %d", cases[i].name,
		    state.last);
		for (n = 0; n < 3; n++) {
			fingerprint = print_of(n);
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
#define POISONS 2
#define INNOCENTS 40
#define PRINTS (POISONS + INNOCENTS)
#define PLAY_US (180 * SECOND)
/* What is served is counted in the last minute: about 240 times for each
 * innocent request, 9600 in all, were there no culprits. */
#define SERVED_FROM_US (120 * SECOND)
#define SERVED_MIN 20
#define SERVED_TOTAL_MIN 5760

/* A call in an upstream; it stays there when its caller gives up. */
struct call {
	struct loom_quarantine_entry *entry;
	unsigned print; /* below POISONS: crashes its upstream at its end */
	uint64_t ends_us;
	uint64_t given_up_us;
};

/* Word between hosts that has not arrived. */
struct word {
	uint64_t due_us;
	unsigned to;
	unsigned print;
	enum suspect_level level; /* SUSPECT_NONE: cleared */
	uint8_t strikes;
	uint64_t remaining_us;
};

/* A call that was told to wait. */
struct held {
	unsigned print;
	uint64_t until_us;
};

struct host {
	struct suspects suspects;
	GArray *held;
	struct call calls[SLOTS];
	unsigned ncalls;
};

struct play {
	struct host hosts[HOSTS];
	struct loom_random random;
	GArray *words;
	uint64_t now_us;
	uint64_t word_us; /* delay at most */
	double loss;
	unsigned crashes[POISONS];
	unsigned served[PRINTS];
	unsigned quarantined; /* innocent ones: must stay 0 */
};

static void
tell(struct play *play, unsigned from, unsigned print,
    const struct suspect_record *record)
{
	struct word word = { .print = print };

	if (record != NULL) {
		word.level = record->level;
		word.strikes = record->strikes;
		word.remaining_us = record->until_us - play->now_us;
	}

	for (word.to = 0; word.to < HOSTS; word.to++) {
		if (word.to == from ||
		    loom_random_unit(&play->random) < play->loss)
			continue;
		word.due_us = play->now_us +
		    loom_random_below(&play->random, play->word_us + 1);
		g_array_append_val(play->words, word);
	}
}

static void
hear(struct play *play)
{
	struct loom_fingerprint fingerprint;
	struct word word;
	guint i = 0;

	while (i < play->words->len) {
		word = g_array_index(play->words, struct word, i);
		if (word.due_us > play->now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(play->words, i);
		fingerprint = print_of(word.print);
		if (word.level == SUSPECT_NONE)
			suspect_records_answered(
			    &play->hosts[word.to].suspects.records,
			    &fingerprint);
		else
			suspect_records_told(
			    &play->hosts[word.to].suspects.records,
			    &fingerprint, word.level, word.strikes,
			    word.remaining_us, play->now_us);
	}
}

/* True when the call has to wait. */
static bool
arrive(struct play *play, unsigned h, unsigned print)
{
	struct loom_fingerprint fingerprint = print_of(print);
	struct host *host = &play->hosts[h];
	struct call call = { .print = print };
	enum loom_quarantine_verdict verdict;
	uint64_t length_us;

	if (host->ncalls == SLOTS)
		return false;
	verdict = suspects_enter(
	    &host->suspects, &fingerprint, play->now_us, &call.entry);
	play->quarantined +=
	    verdict == LOOM_QUARANTINE_REFUSE && print >= POISONS;
	if (verdict != LOOM_QUARANTINE_PASS)
		return verdict == LOOM_QUARANTINE_HOLD;
	length_us = loom_random_below(&play->random, SECOND / 5) + STEP_US;
	if (loom_random_unit(&play->random) < 0.02)
		length_us *= 20;
	call.ends_us = play->now_us + length_us;
	call.given_up_us = UINT64_MAX;
	if (loom_random_unit(&play->random) < 0.1)
		call.given_up_us = play->now_us + length_us / 2;
	host->calls[host->ncalls++] = call;
	return false;
}

static void
arrive_or_wait(struct play *play, unsigned h, unsigned print)
{
	struct held held = { print, play->now_us + 2 * SECOND };

	if (arrive(play, h, print))
		g_array_append_val(play->hosts[h].held, held);
}

static void
ask_again(struct play *play, unsigned h)
{
	GArray *held = play->hosts[h].held;
	const struct held *waiting;
	guint i = 0;

	while (i < held->len) {
		waiting = &g_array_index(held, struct held, i);
		if (waiting->until_us > play->now_us &&
		    arrive(play, h, waiting->print))
			i++;
		else
			g_array_remove_index(held, i);
	}
}

static void
host_crashes(struct play *play, unsigned h)
{
	struct host *host = &play->hosts[h];
	const struct suspect_record *record;
	struct loom_fingerprint fingerprint;
	bool any = false;
	unsigned i;

	for (i = 0; i < host->ncalls; i++) {
		if (host->calls[i].entry == NULL)
			continue;
		any = true;
		suspects_crashed(
		    &host->suspects, host->calls[i].entry, play->now_us);
		suspects_leave(&host->suspects, host->calls[i].entry,
		    LOOM_QUARANTINE_BROKEN, play->now_us);
	}
	if (!any)
		suspects_unreachable(&host->suspects, NULL, play->now_us);
	host->ncalls = 0;
	for (i = 0; i < PRINTS; i++) {
		fingerprint = print_of(i);
		record = g_hash_table_lookup(
		    host->suspects.records.table, &fingerprint);
		if (record != NULL && record->until_us > play->now_us)
			tell(play, h, i, record);
	}
}

static void
advance(struct play *play, unsigned h)
{
	struct host *host = &play->hosts[h];
	struct call *call;
	unsigned i = 0;

	while (i < host->ncalls) {
		call = &host->calls[i];
		if (call->entry != NULL && call->given_up_us <= play->now_us) {
			suspects_leave(&host->suspects, call->entry,
			    LOOM_QUARANTINE_BROKEN, play->now_us);
			call->entry = NULL;
		}
		if (call->ends_us > play->now_us) {
			i++;
			continue;
		}
		if (call->print < POISONS) {
			play->crashes[call->print]++;
			host_crashes(play, h);
			return;
		}
		play->served[call->print] += play->now_us > SERVED_FROM_US;
		if (call->entry != NULL &&
		    suspects_leave(&host->suspects, call->entry,
			LOOM_QUARANTINE_ANSWERED, play->now_us))
			tell(play, h, call->print, NULL);
		*call = host->calls[--host->ncalls];
	}
}

static void
play_step(struct play *play)
{
	unsigned h;

	play->now_us += STEP_US;
	hear(play);
	for (h = 0; h < HOSTS; h++) {
		advance(play, h);
		ask_again(play, h);
		if (loom_random_unit(&play->random) < 0.4)
			arrive_or_wait(play, h,
			    POISONS +
				(unsigned)loom_random_below(
				    &play->random, INNOCENTS));
		if (loom_random_unit(&play->random) < 0.01)
			arrive_or_wait(play, h,
			    (unsigned)loom_random_below(
				&play->random, POISONS));
	}
}

static void
play_run(struct play *play, uint32_t seed, uint64_t word_us, double loss)
{
	unsigned h;

	memset(play, 0, sizeof(*play));
	play->random = test_random_new(seed);
	play->words = g_array_new(FALSE, FALSE, sizeof(struct word));
	play->now_us = SECOND;
	play->word_us = word_us;
	play->loss = loss;
	for (h = 0; h < HOSTS; h++) {
		suspects_init(
		    &play->hosts[h].suspects, SUSPECT_US, QUARANTINE_US, 64);
		play->hosts[h].held =
		    g_array_new(FALSE, FALSE, sizeof(struct held));
	}
	while (play->now_us < PLAY_US)
		play_step(play);
	for (h = 0; h < HOSTS; h++) {
		suspects_clear(&play->hosts[h].suspects);
		g_array_free(play->hosts[h].held, TRUE);
	}
	g_array_free(play->words, TRUE);
	test_random_free(&play->random);
}

/*
 * Two callers send requests that crash their upstreams, again and again, to
 * any of four busy hosts, for three minutes; one call in ten is given up on
 * while its upstream goes on with it.  No innocent request may be quarantined,
 * each must be served in the end, and the crashes must stop.
 */
static void
test_fleet(void)
{
	static const struct {
		const char *name;
		uint64_t word_us;
		double loss;
		unsigned bound; /* crashes by one request in that time */
	} cases[] = {
		{ "word at once", 0, 0, 10 },
		{ "word within half a second", SECOND / 2, 0, 12 },
		{ "half of the words lost", SECOND / 2, 0.5, 20 },
		/* Each host has to find out by itself. */
		{ "cut off from each other", 0, 1, 8 * HOSTS },
	};
	unsigned i, seed, most, n, total, least;
	struct play play;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		most = 0;
		least = UINT_MAX;
		for (seed = 1; seed <= 30; seed++) {
			play_run(&play, seed, cases[i].word_us, cases[i].loss);
			TEST_CHECK(play.quarantined == 0, "%s, seed %u: %u",
			    cases[i].name, seed, play.quarantined);
			for (n = 0; n < POISONS; n++)
				most = MAX(most, play.crashes[n]);
			for (n = POISONS, total = 0; n < PRINTS; n++) {
				total += play.served[n];
				TEST_CHECK(play.served[n] > SERVED_MIN,
				    "%s, seed %u: %u served %u times",
				    cases[i].name, seed, n, play.served[n]);
			}
			least = MIN(least, total);
		}
		printf("\npoint quarantine, %s: at most %u crashes by one "
		       "request, at least %u%% served in the last minute\n",
		    cases[i].name, most, least / 96);
		TEST_CHECK(most <= cases[i].bound, "%s: %u crashes",
		    cases[i].name, most);
		TEST_CHECK(least >= SERVED_TOTAL_MIN, "%s: %u served",
		    cases[i].name, least);
	}
}

static const struct test_case tests[] = {
	{ "scripts", test_scripts },
	{ "fleet", test_fleet },
};

TEST_MAIN("suspects", tests)
