/*
 * Calls and tickets across a cut: real daemons in two data centres with a
 * relay between them.
 */

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

#define FRONTS 4
#define STOCKS 4
#define HOSTS (FRONTS + STOCKS)
#define CENTRES 2
#define ENTRY 0 /* in the first data centre */
#define RETRIES 2 /* the manifest's budget */

static const char key_header[] = "Loom-Key: k-cut";

static const struct testbed_service services[] = {
	{ .name = "front",
	    .hosts = FRONTS,
	    .calls = { "GET /stock" },
	    .slots = 64 },
	{ .name = "stock", .hosts = STOCKS, .slots = 64 },
};

static const char document_format[] =
    "{ \"document\": \"test\", \"version\": 1,\n"
    "\"fleet\": { \"slots\": 8, \"retry_budget\": 2, \"retry_ratio\": 1 },\n"
    "\"teams\": [ { \"name\": \"crew\",\n"
    "  \"rate_per_s\": 100000, \"burst\": 100000, \"keys\": [\n"
    "  { \"id\": \"a\", \"sha256\": \"%s\" } ] } ],\n"
    "\"services\": [ { \"name\": \"front\", \"slots\": 64 },\n"
    "  { \"name\": \"stock\", \"slots\": 64 } ],\n"
    "\"routes\": [\n"
    " { \"name\": \"front\", \"service\": \"front\", \"method\": \"GET\",\n"
    "   \"path\": \"/front\", \"calls\": [ \"stock\" ] },\n"
    " { \"name\": \"stock\", \"service\": \"stock\", \"method\": \"GET\",\n"
    "   \"path\": \"/stock\" },\n"
    " { \"name\": \"order\", \"service\": \"stock\", \"method\": \"POST\",\n"
    "   \"path\": \"/order\", \"idempotent\": true },\n"
    " { \"name\": \"pay\", \"service\": \"stock\", \"method\": \"POST\",\n"
    "   \"path\": \"/pay\", \"idempotent\": false } ] }";

static struct testbed testbed;

static bool
start(void)
{
	char *text =
	    g_strdup_printf(document_format, testbed_key_digest("k-cut"));
	bool ok = testbed_start_relayed(
	    &testbed, services, G_N_ELEMENTS(services), CENTRES, text);

	g_free(text);
	return TEST_CHECK(ok, "the testbed starts");
}

#define CALLERS 12
#define CALLS_A_ROUND 250 /* of all callers, cut and healed each */
#define SEED 20261203
#define ANSWER_MAX 400000 /* several times what a daemon holds */

enum kind {
	CHAIN,
	LOOKUP,
	LONG,
	ORDER,
	PAYMENT,
	KINDS
};

static const struct {
	const char *method;
	const char *path;
	uint32_t runs_max; /* at all upstreams together */
} kinds[KINDS] = {
	/* Each run of the front calls stock once, and all share a budget. */
	[CHAIN] = { "GET", "/front", 2 * (1 + RETRIES) },
	[LOOKUP] = { "GET", "/stock", 1 + RETRIES },
	[LONG] = { "GET", "/stock", 1 + RETRIES },
	[ORDER] = { "POST", "/order", 1 + RETRIES },
	[PAYMENT] = { "POST", "/pay", 1 },
};

struct answer {
	char id[24];
	enum kind kind;
	bool not_run; /* told so */
};

struct caller {
	uint32_t number;
	GThread *thread;
	GArray *answers; /* owned: of struct answer */
	uint32_t whole;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t broken; /* a long answer, by its connection */
	uint32_t in_part; /* or another's: looked whole */
	uint32_t hanging; /* neither answered nor refused */
};

static atomic_bool stopping;
static atomic_uint calls_done;

static bool
is_own(const struct testbed_reply *reply, enum kind kind, const char *id,
    size_t bytes)
{
	char *echo = g_strdup_printf("X-Test-Id: %s\r\n", id);
	char *mark = g_strdup_printf(" id=%s body=", id);
	bool own = strstr(reply->headers, echo) != NULL;

	if (kind == LONG)
		own = own && reply->body_len == bytes;
	else
		own = own && strstr(reply->body, mark) != NULL &&
		    g_str_has_suffix(reply->body, "\n");
	g_free(mark);
	g_free(echo);
	return own;
}

static void
note(struct caller *caller, struct answer *answer,
    const struct testbed_reply *reply, size_t bytes)
{
	/* A front whose deeper call failed answers 502 itself. */
	bool answered =
	    reply->code == 0 && (reply->status == 200 || answer->kind == CHAIN);

	answer->not_run =
	    reply->curl_code == 0 && strcmp(reply->outcome, "not-run") == 0;
	if (reply->curl_code == CURLE_OPERATION_TIMEDOUT)
		caller->hanging++;
	else if (reply->curl_code != 0)
		caller->broken++;
	else if (answered && !is_own(reply, answer->kind, answer->id, bytes))
		caller->in_part++;
	else if (answered)
		caller->whole++;
	else if (answer->not_run)
		caller->not_run++;
	else
		caller->unknown++;
	g_array_append_val(caller->answers, *answer);
}

static void
call_once(struct caller *caller, struct testbed_caller *line, GRand *rand)
{
	uint32_t host = (uint32_t)g_rand_int_range(rand, 0, HOSTS);
	size_t bytes = (size_t)g_rand_int_range(rand, 10, ANSWER_MAX);
	struct answer answer = {
		.kind = (enum kind)g_rand_int_range(rand, 0, KINDS),
	};
	char id[64], length[64];
	const char *headers[] = { key_header, "Loom-Deadline-Ms: 600",
		"X-Test-Service-Ms: 5", id, NULL, NULL, NULL };
	bool post = strcmp(kinds[answer.kind].method, "POST") == 0;
	const struct testbed_request asked = {
		.host = host,
		.method = kinds[answer.kind].method,
		.path = kinds[answer.kind].path,
		.headers = headers,
		.body = post ? "x" : NULL,
		.body_len = post,
	};
	char *ticket = NULL, *ticket_line;
	struct testbed_reply reply;

	g_snprintf(answer.id, sizeof(answer.id), "c%u-%u", caller->number,
	    caller->answers->len);
	g_snprintf(id, sizeof(id), "X-Test-Id: %s", answer.id);
	g_snprintf(length, sizeof(length), "X-Test-Answer-Bytes: %zu", bytes);
	if (answer.kind == PAYMENT)
		ticket = testbed_ticket(&testbed, host, key_header, "pay");
	ticket_line = g_strconcat("Loom-Ticket: ", ticket, NULL);
	if (ticket != NULL)
		headers[4] = ticket_line;
	else if (answer.kind == LONG)
		headers[4] = length;
	if (answer.kind == LONG)
		headers[5] = "X-Test-Answer-Gap-Ms: 30";
	testbed_caller_call(line, &asked, &reply);
	note(caller, &answer, &reply, bytes);
	testbed_reply_clear(&reply);
	g_free(ticket_line);
	g_free(ticket);
	atomic_fetch_add(&calls_done, 1);
}

static void *
run_caller(void *arg)
{
	struct caller *caller = arg;
	GRand *rand = g_rand_new_with_seed(SEED + caller->number);
	struct testbed_caller line;

	testbed_caller_init(&line, &testbed);
	while (!atomic_load(&stopping))
		call_once(caller, &line, rand);
	testbed_caller_clear(&line);
	g_rand_free(rand);
	return NULL;
}

static bool
calls_reached(void *wanted)
{
	return atomic_load(&calls_done) >= *(unsigned *)wanted;
}

static void
let_them_call(void)
{
	unsigned wanted = atomic_load(&calls_done) + CALLS_A_ROUND;

	TEST_CHECK(testbed_wait_condition(calls_reached, &wanted), "calls");
}

static const struct {
	bool services; /* apart from each other, else the data centres */
	const char *mode;
	bool one_way;
} cuts[] = {
	{ true, "hold", false },
	{ false, "hold", false },
	{ true, "drop", false },
	{ false, "drop", false },
	{ true, "reset", false },
	{ true, "hold", true },
	{ true, "drop", true },
	{ false, "drop", true },
};

/* One way: what the fronts send still arrives. */
static void
cut_services(const char *mode, bool one_way)
{
	bool fronts[HOSTS + 1], stocks[HOSTS + 1];
	const struct testbed_partition cut = {
		.from = stocks,
		.to = fronts,
		.mode = mode,
		.one_way = one_way,
	};
	uint32_t i;

	for (i = 0; i <= HOSTS; i++) {
		stocks[i] = i >= FRONTS && i < HOSTS;
		fronts[i] = !stocks[i];
	}
	testbed_partition(&testbed, &cut);
}

static void
play_cuts(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cuts); i++) {
		let_them_call();
		if (cuts[i].services)
			cut_services(cuts[i].mode, cuts[i].one_way);
		else
			testbed_isolate_first_data_centre(
			    &testbed, cuts[i].mode, cuts[i].one_way);
		let_them_call();
		testbed_remove_partitions(&testbed);
	}
	let_them_call();
}

struct sums {
	struct caller told;
	uint32_t lies; /* not-run, but in a ledger */
	uint32_t repeated; /* more runs than may be */
};

static void
check_caller(
    const struct caller *caller, GHashTable *started, struct sums *sums)
{
	const struct answer *answer;
	guint runs;
	uint32_t i;

	for (i = 0; i < caller->answers->len; i++) {
		answer = &g_array_index(caller->answers, struct answer, i);
		runs =
		    GPOINTER_TO_UINT(g_hash_table_lookup(started, answer->id));
		TEST_CHECK(!answer->not_run || runs == 0,
		    "%s %s: told not-run, ran %u times",
		    kinds[answer->kind].path, answer->id, runs);
		TEST_CHECK(runs <= kinds[answer->kind].runs_max,
		    "%s %s: ran %u times", kinds[answer->kind].path, answer->id,
		    runs);
		sums->lies += answer->not_run && runs > 0;
		sums->repeated += runs > kinds[answer->kind].runs_max;
	}
	sums->told.whole += caller->whole;
	sums->told.not_run += caller->not_run;
	sums->told.unknown += caller->unknown;
	sums->told.broken += caller->broken;
	sums->told.in_part += caller->in_part;
	sums->told.hanging += caller->hanging;
}

/*
 * Callers on both sides call while the network between the data centres, or
 * between two services, is cut and healed again and again, in each direction,
 * with bytes held back and delivered late, lost, or connections reset.  Each is
 * told by its deadline what became of its request: nothing that is told not-run
 * ran, nothing runs more often than it may, no answer in part looks whole.
 */
static void
test_honest(void)
{
	struct caller callers[CALLERS] = { 0 };
	struct sums sums = { .lies = 0 };
	GHashTable *started;
	uint32_t i;

	if (!start())
		goto out;
	for (i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		callers[i].answers =
		    g_array_new(FALSE, FALSE, sizeof(struct answer));
		callers[i].thread =
		    g_thread_new("caller", run_caller, &callers[i]);
	}
	play_cuts();
	atomic_store(&stopping, true);
	for (i = 0; i < CALLERS; i++)
		g_thread_join(callers[i].thread);
	started = testbed_ledger(&testbed, NULL, "start");
	for (i = 0; i < CALLERS; i++) {
		check_caller(&callers[i], started, &sums);
		g_array_unref(callers[i].answers);
	}
	g_hash_table_unref(started);
	TEST_CHECK(sums.told.in_part == 0, "%u in part", sums.told.in_part);
	TEST_CHECK(sums.told.hanging == 0, "%u hung", sums.told.hanging);
	TEST_CHECK(sums.told.whole > 0 && sums.told.unknown > 0,
	    "%u whole, %u unknown", sums.told.whole, sums.told.unknown);
	printf("points 5 and 6 cut: %u calls under %zu cuts: %u whole, %u "
	       "not-run, %u ran or unknown, %u long ones broken off; %u "
	       "not-run that ran, %u ran too often, %u in part, %u hung\n",
	    atomic_load(&calls_done), G_N_ELEMENTS(cuts), sums.told.whole,
	    sums.told.not_run, sums.told.unknown, sums.told.broken, sums.lies,
	    sums.repeated, sums.told.in_part, sums.told.hanging);
out:
	testbed_stop(&testbed);
}

#define RUN_MS "X-Test-Service-Ms: 300"

struct payment {
	char id[32];
	char *ticket; /* owned */
	uint32_t answered;
	uint32_t unknown; /* or ran */
	uint32_t other; /* not-run, broken, hanging: nobody may be told so */
	int code; /* of the last refusal */
};

struct copy {
	struct payment *payment;
	uint32_t host;
	GThread *thread;
	struct testbed_reply reply;
};

static void *
send_copy(void *arg)
{
	struct copy *copy = arg;
	char *ticket =
	    g_strconcat("Loom-Ticket: ", copy->payment->ticket, NULL);
	char *id = g_strconcat("X-Test-Id: ", copy->payment->id, NULL);
	const char *headers[] = { key_header, ticket, id, RUN_MS,
		"Loom-Deadline-Ms: 1200", NULL };

	testbed_call(&testbed, copy->host, "POST", "/pay", headers, "x", 1,
	    &copy->reply);
	g_free(id);
	g_free(ticket);
	return NULL;
}

static void
copy_begin(struct copy *copy, struct payment *payment, uint32_t host)
{
	*copy = (struct copy){ .payment = payment, .host = host };
	copy->thread = g_thread_new("copy", send_copy, copy);
}

static void
copy_end(struct copy *copy)
{
	const struct testbed_reply *reply = &copy->reply;
	struct payment *payment = copy->payment;

	g_thread_join(copy->thread);
	if (reply->curl_code == 0 && reply->code == 0 && reply->status == 200)
		payment->answered++;
	else if (reply->curl_code == 0 &&
	    (strcmp(reply->outcome, "unknown") == 0 ||
		strcmp(reply->outcome, "ran") == 0))
		payment->unknown++;
	else
		payment->other++;
	if (reply->code != 0)
		payment->code = reply->code;
	testbed_reply_clear(&copy->reply);
}

static void
send_everywhere(struct payment *payment)
{
	struct copy copies[HOSTS];
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		copy_begin(&copies[i], payment, i);
	for (i = 0; i < HOSTS; i++)
		copy_end(&copies[i]);
}

static uint32_t
runs(const struct payment *payment)
{
	return testbed_ledger_count(&testbed, "stock", "start", payment->id);
}

static bool
has_started(void *payment)
{
	return runs(payment) > 0;
}

static uint32_t
far_entry(void)
{
	uint32_t i;

	for (i = 0; i < HOSTS - 1 && testbed.hosts[i].data_centre == 0; i++)
		;
	return i;
}

/* A ticket whose executor stands in the other data centre.  An entry there
 * gives one: this side's gives those of its own hosts while they are idle. */
static bool
take_far_ticket(void *arg)
{
	struct payment *payment = arg;
	uint32_t executor;

	g_free(payment->ticket);
	payment->ticket =
	    testbed_ticket(&testbed, far_entry(), key_header, "pay");
	if (payment->ticket == NULL)
		return false;
	executor = testbed_ticket_executor(&testbed, payment->ticket);
	return executor < HOSTS && testbed.hosts[executor].data_centre != 0;
}

static bool
is_answered(void *arg)
{
	struct payment *payment = arg;
	struct copy copy;

	copy_begin(&copy, payment, ENTRY);
	copy_end(&copy);
	return payment->answered > 0;
}

/*
 * A payment's ticket is bound to a daemon across the cut.  Copies go out on
 * both sides, before, in and after the cut.  Those that cannot reach the
 * executor are told unknown, none that it did not run; it runs once, and
 * after healing the caller gets its answer, kept or not.
 */
static void
test_once(void)
{
	static const struct {
		const char *name;
		bool begun; /* it runs when the cut begins */
		const char *mode;
		bool one_way;
	} cases[] = {
		{ "cut before, bytes late", false, "hold", false },
		{ "cut before, bytes lost", false, "drop", false },
		{ "cut before, reset", false, "reset", false },
		{ "cut in the run, bytes late", true, "hold", false },
		{ "cut in the run, bytes lost", true, "drop", false },
		{ "requests arrive, answers late", false, "hold", true },
		{ "requests arrive, answers lost", false, "drop", true },
	};
	struct payment payment;
	struct copy first;
	size_t i;

	if (!start())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		payment = (struct payment){ .ticket = NULL };
		g_snprintf(payment.id, sizeof(payment.id), "pay-%zu", i);
		if (!TEST_CHECK(
			testbed_wait_condition(take_far_ticket, &payment),
			"%s: ticket", cases[i].name))
			break;
		if (cases[i].begun) {
			copy_begin(&first, &payment, ENTRY);
			TEST_CHECK(
			    testbed_wait_condition(has_started, &payment),
			    "%s: begins", cases[i].name);
		}
		testbed_isolate_first_data_centre(
		    &testbed, cases[i].mode, cases[i].one_way);
		if (cases[i].begun)
			copy_end(&first);
		send_everywhere(&payment);
		testbed_remove_partitions(&testbed);
		send_everywhere(&payment);
		TEST_CHECK(testbed_wait_condition(is_answered, &payment),
		    "%s: answered after healing, code %d", cases[i].name,
		    payment.code);
		TEST_CHECK(runs(&payment) == 1, "%s: ran %u times",
		    cases[i].name, runs(&payment));
		TEST_CHECK(payment.other == 0, "%s: %u told otherwise, code %d",
		    cases[i].name, payment.other, payment.code);
		printf("point 7 cut: %s: ran %u times, %u copies answered, "
		       "%u unknown, %u otherwise\n",
		    cases[i].name, runs(&payment), payment.answered,
		    payment.unknown, payment.other);
		g_free(payment.ticket);
	}
out:
	testbed_stop(&testbed);
}

static const struct test_case tests[] = {
	{ "honest", test_honest },
	{ "once", test_once },
};

TEST_MAIN("partition calls", tests)
