/*
 * Sends requests and retries them.
 *
 * Latency and deadline count from the scheduled arrival, not from when the
 * request was sent.  Otherwise delays in the tool itself would be hidden
 * (coordinated omission).
 */

#include <string.h>

#include "load/request.h"
#include "load/retry.h"
#include "loom/clock.h"

/* The timeout of an attempt is this much later than the deadline, because the
 * refusal that tells the outcome takes some time to arrive. */
#define OUTCOME_GRACE_US (2 * LOOM_US_PER_S)

/* Bytes of a problem document that are kept; all documents are shorter. */
#define PROBLEM_MAX 4096

#define HEADER_VALUE_SIZE 48
#define HEADER_COUNT 5

struct request {
	struct load_client *client; /* borrowed */
	const struct load_route *route; /* borrowed */
	uint32_t team;
	uint64_t number;
	uint32_t part; /* new for each ticket, or attempt without one */
	uint32_t attempts_left;
	uint64_t arrived_us; /* since the start of the run */
	uint64_t deadline_us; /* since the start of the run */
	char ticket[sizeof(((struct loom_refusal *)0)->ticket)];
	bool maybe_ran; /* an earlier attempt of this part ended unknown */
	/* State of the current attempt. */
	bool within; /* the reference bucket had a token */
	uint64_t body_left;
	struct loom_fetch *fetch; /* borrowed */
	uint16_t status;
	bool is_problem; /* the answer is a refusal by loomd */
	GString *body; /* owned: problem document, up to PROBLEM_MAX */
};

static void send_attempt(struct request *request);

static const struct load_team *
get_team(const struct request *request)
{
	return &g_array_index(
	    request->client->settings->teams, struct load_team, request->team);
}

static uint64_t
now_us(const struct request *request)
{
	return loom_now_us() - request->client->start_us;
}

static int
request_destructor(struct request *request)
{
	g_string_free(request->body, TRUE);
	return 0;
}

static void
finish_request(struct request *request, enum load_finish finish)
{
	load_results_count_finished(request->client->results, request->team,
	    request->route, finish, request->arrived_us,
	    now_us(request) - request->arrived_us);
	request->client->in_flight--;
	talloc_free(request);
}

static char *
format_part_id(const struct request *request)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT ".%u",
	    request->client->id_prefix, request->number, request->part);
}

/* Records what the caller was finally told about the current part. */
static void
record_claim(struct request *request, const struct load_attempt *attempt)
{
	struct load_claim claim = {
		.id = format_part_id(request),
		.method = request->route->method,
		.path = request->route->path,
		.answered = attempt->end == LOAD_END_SUCCESS,
		.outcome = load_attempt_outcome(attempt),
	};

	/* If this attempt failed to connect, it did not run, but an earlier
	 * attempt of the same part may have. */
	if (attempt->end == LOAD_END_INCOMPLETE && request->maybe_ran)
		claim.outcome = LOOM_OUTCOME_UNKNOWN;
	load_results_add_claim(request->client->results, &claim);
}

static enum load_finish
classify_finish(
    const struct request *request, const struct load_attempt *attempt)
{
	switch (attempt->end) {
	case LOAD_END_SUCCESS:
		return now_us(request) <= request->deadline_us
		    ? LOAD_FINISH_GOOD
		    : LOAD_FINISH_LATE;
	case LOAD_END_REFUSED:
		return LOAD_FINISH_REFUSED;
	default:
		return LOAD_FINISH_FAILED;
	}
}

static struct load_request_state
get_request_state(const struct request *request)
{
	uint64_t now = now_us(request);

	return (struct load_request_state){
		.retry = (enum load_retry_policy)get_team(request)->retry,
		.attempts_left = request->attempts_left,
		.needs_ticket = request->route->ticket,
		.has_ticket = request->ticket[0] != '\0',
		.remaining_us =
		    now < request->deadline_us ? request->deadline_us - now : 0,
	};
}

static void
on_retry_timer(void *arg)
{
	send_attempt(arg);
}

/* Starts a new part; ticket is "" for none. */
static void
begin_part(struct request *request, const char *ticket)
{
	request->part++;
	request->maybe_ran = false;
	g_strlcpy(request->ticket, ticket, sizeof(request->ticket));
}

static void
apply_decision(struct request *request, const struct load_attempt *attempt,
    const struct load_decision *decision)
{
	switch (decision->action) {
	case LOAD_ACTION_RESEND:
		request->attempts_left--;
		request->maybe_ran |=
		    load_attempt_outcome(attempt) == LOOM_OUTCOME_UNKNOWN;
		break;
	case LOAD_ACTION_START_OVER:
		record_claim(request, attempt);
		request->attempts_left--;
		begin_part(request, "");
		break;
	case LOAD_ACTION_SEND_TICKET:
		record_claim(request, attempt);
		begin_part(request, attempt->refusal.ticket);
		break;
	case LOAD_ACTION_FINISH:
	default:
		record_claim(request, attempt);
		finish_request(request, classify_finish(request, attempt));
		return;
	}
	if (loom_timer_add(request->client->timers, request, decision->wait_us,
		on_retry_timer, request) == NULL)
		finish_request(request, LOAD_FINISH_FAILED);
}

static void
on_attempt_ended(struct request *request, const struct load_attempt *attempt)
{
	const struct load_request_state state = get_request_state(request);
	const struct load_decision decision =
	    load_decide_retry(&state, attempt);

	if (attempt->end == LOAD_END_REFUSED)
		load_results_count_refusal(request->client->results,
		    request->team, &attempt->refusal, request->within);
	apply_decision(request, attempt, &decision);
}

static size_t
read_body(void *arg, uint8_t *buf, size_t max, bool *end)
{
	struct request *request = arg;
	size_t n = MIN(max, request->body_left);

	memset(buf, 'x', n);
	request->body_left -= n;
	*end = request->body_left == 0;
	return n;
}

static void
on_headers(void *arg, struct loom_fetch *fetch)
{
	struct request *request = arg;

	request->status = loom_fetch_status(fetch);
	request->is_problem = loom_fetch_header(fetch, "Loom-Code") != NULL;
}

static bool
on_data(void *arg, const uint8_t *data, size_t len)
{
	struct request *request = arg;

	if (request->is_problem)
		g_string_append_len(request->body, (const char *)data,
		    (gssize)MIN(len, PROBLEM_MAX - request->body->len));
	return true;
}

static void
on_fetch_done(void *arg, const struct loom_fetch_outcome *end)
{
	struct request *request = arg;
	struct load_attempt attempt = {
		.end = LOAD_END_INCOMPLETE,
		.sent = end->sent,
	};

	if (end->result == LOOM_FETCH_COMPLETE) {
		if (request->is_problem &&
		    loom_refusal_parse(request->body->str, request->body->len,
			&attempt.refusal))
			attempt.end = LOAD_END_REFUSED;
		else if (request->status >= 200 && request->status < 300)
			attempt.end = LOAD_END_SUCCESS;
		else
			attempt.end = LOAD_END_ERROR_STATUS;
	}
	on_attempt_ended(request, &attempt);
}

/* Picks a random entry; borrowed from the settings. */
static const char *
choose_entry(const struct request *request)
{
	char **entries = request->client->settings->entries;
	gint32 n = (gint32)g_strv_length(entries);
	gint32 i = g_rand_int_range(request->client->rand, 0, n);

	return entries[i];
}

static bool
start_fetch(struct request *request, uint64_t remaining_us)
{
	static const struct loom_fetch_ops ops = {
		.read_body = read_body,
		.headers = on_headers,
		.data = on_data,
		.done = on_fetch_done,
	};
	char root[HEADER_VALUE_SIZE], deadline[HEADER_VALUE_SIZE];
	char *part = format_part_id(request);
	struct loom_header headers[HEADER_COUNT] = {
		{ "Loom-Key", get_team(request)->key },
		{ "Loom-Request-Id", root },
		{ "X-Test-Id", part },
		{ "Loom-Deadline-Ms", deadline },
		{ "Loom-Ticket", request->ticket },
	};
	struct loom_fetch_request fetch = {
		.method = request->route->method,
		.address = choose_entry(request),
		.target = request->route->path,
		.headers = headers,
		.nheaders = request->ticket[0] != '\0' ? HEADER_COUNT
						       : HEADER_COUNT - 1,
		.has_body = request->route->body_bytes > 0,
		.body_length = request->route->body_bytes,
		.timeout_us = remaining_us + OUTCOME_GRACE_US,
		.ops = &ops,
		.arg = request,
	};

	g_snprintf(root, sizeof(root), "%s-%" G_GUINT64_FORMAT,
	    request->client->id_prefix, request->number);
	g_snprintf(deadline, sizeof(deadline), "%" G_GUINT64_FORMAT,
	    MAX(remaining_us / LOOM_US_PER_MS, 1));
	request->fetch = loom_fetch_start(request->client->fetcher, &fetch);
	g_free(part);
	return request->fetch != NULL;
}

static void
send_attempt(struct request *request)
{
	const struct load_request_state state = get_request_state(request);

	request->status = 0;
	request->is_problem = false;
	request->body_left = request->route->body_bytes;
	g_string_truncate(request->body, 0);
	/* A request that is sent to obtain a ticket takes no token. */
	request->within = (!state.needs_ticket || state.has_ticket) &&
	    load_results_count_attempt(
		request->client->results, request->team, now_us(request));
	if (!start_fetch(request, state.remaining_us))
		finish_request(request, LOAD_FINISH_FAILED);
}

void
load_request_start(struct load_client *client, uint32_t team,
    const struct load_route *route, uint64_t arrived_us)
{
	struct request *request;

	client->last_number++;
	if (client->in_flight >= client->settings->outstanding) {
		load_results_count_finished(client->results, team, route,
		    LOAD_FINISH_UNSENT, arrived_us, 0);
		return;
	}
	request = talloc_zero(client, struct request);
	if (request == NULL)
		abort();
	*request = (struct request){
		.client = client,
		.route = route,
		.team = team,
		.number = client->last_number,
		.arrived_us = arrived_us,
		.deadline_us = arrived_us + route->deadline_ms * LOOM_US_PER_MS,
		.body = g_string_new(NULL),
	};
	talloc_set_destructor(request, request_destructor);
	request->attempts_left = get_team(request)->attempts - 1;
	client->in_flight++;
	send_attempt(request);
}
