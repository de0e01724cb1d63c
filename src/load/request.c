/*
 * Sending, and sending again.
 *
 * Time counts from the arrival, not from when the tool came to send it: else a
 * slow tool would hide the waits that it caused itself.
 */

#include <string.h>

#include "load/request.h"
#include "load/step.h"
#include "loom/clock.h"

/* After its deadline a request is still given this long to learn its outcome:
 * a refusal takes a moment to come back. */
#define GRACE_US (2 * LOOM_US_PER_S)

/* A problem document is shorter. */
#define PROBLEM_MAX 4096

#define TEXT_SIZE 48
#define HEADERS 5

struct request {
	struct load_client *client; /* borrowed */
	const struct load_route *route; /* borrowed */
	uint32_t team;
	uint64_t number;
	uint32_t part; /* new with each ticket, or each attempt without */
	uint32_t attempts_left;
	uint64_t arrived_us; /* since the start */
	uint64_t deadline_us; /* since the start */
	char ticket[sizeof(((struct loom_refusal *)0)->ticket)];
	bool maybe_ran; /* an earlier attempt of this part is unknown */
	/* Of the attempt under way. */
	bool within; /* the ideal bucket let it in */
	uint64_t body_left;
	struct loom_fetch *fetch; /* borrowed */
	uint16_t status;
	bool problem; /* loomd itself answers */
	GString *body; /* owned: the start of a problem document */
};

static void send_attempt(struct request *request);

static const struct load_team *
team_of(const struct request *request)
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
end_request(struct request *request, enum load_finish finish)
{
	load_results_finish(request->client->results, request->team,
	    request->route, finish, request->arrived_us,
	    now_us(request) - request->arrived_us);
	request->client->open--;
	talloc_free(request);
}

static char *
part_id(const struct request *request)
{
	return g_strdup_printf("%s-%" G_GUINT64_FORMAT ".%u",
	    request->client->tag, request->number, request->part);
}

/* The last word on the present part. */
static void
claim_part(struct request *request, const struct load_attempt *attempt)
{
	struct load_claim claim = {
		.id = part_id(request),
		.method = request->route->method,
		.path = request->route->path,
		.answered = attempt->end == LOAD_END_ANSWER,
		.outcome = load_outcome(attempt),
	};

	/* That a connection failed is this tool's own word: it says nothing
	 * of the attempts before. */
	if (attempt->end == LOAD_END_BROKEN && request->maybe_ran)
		claim.outcome = LOOM_OUTCOME_UNKNOWN;
	load_results_claim(request->client->results, &claim);
}

static enum load_finish
finish_of(const struct request *request, const struct load_attempt *attempt)
{
	switch (attempt->end) {
	case LOAD_END_ANSWER:
		return now_us(request) <= request->deadline_us
		    ? LOAD_FINISH_GOOD
		    : LOAD_FINISH_LATE;
	case LOAD_END_REFUSED:
		return LOAD_FINISH_REFUSED;
	default:
		return LOAD_FINISH_FAILED;
	}
}

static struct load_progress
progress_of(const struct request *request)
{
	uint64_t now = now_us(request);

	return (struct load_progress){
		.retry = (enum load_retry)team_of(request)->retry,
		.attempts_left = request->attempts_left,
		.ticketed = request->route->ticket,
		.has_ticket = request->ticket[0] != '\0',
		.left_us =
		    now < request->deadline_us ? request->deadline_us - now : 0,
	};
}

static void
again(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval when, void *arg)
{
	(void)ev;
	(void)timer;
	(void)when;
	send_attempt(arg);
}

static void
begin_part(struct request *request, const char *ticket)
{
	request->part++;
	request->maybe_ran = false;
	g_strlcpy(request->ticket, ticket, sizeof(request->ticket));
}

static void
take_step(struct request *request, const struct load_attempt *attempt,
    const struct load_next *next)
{
	struct timeval at;

	switch (next->step) {
	case LOAD_STEP_SAME:
		request->attempts_left--;
		request->maybe_ran |=
		    load_outcome(attempt) == LOOM_OUTCOME_UNKNOWN;
		break;
	case LOAD_STEP_FRESH:
		claim_part(request, attempt);
		request->attempts_left--;
		begin_part(request, "");
		break;
	case LOAD_STEP_TICKET:
		claim_part(request, attempt);
		begin_part(request, attempt->refusal.ticket);
		break;
	case LOAD_STEP_DONE:
	default:
		claim_part(request, attempt);
		end_request(request, finish_of(request, attempt));
		return;
	}
	at = tevent_timeval_current_ofs(
	    (uint32_t)(next->wait_us / LOOM_US_PER_S),
	    (uint32_t)(next->wait_us % LOOM_US_PER_S));
	/* The timer is not the request's child: the request may end in it. */
	if (tevent_add_timer(request->client->ev, request->client, at, again,
		request) == NULL)
		end_request(request, LOAD_FINISH_FAILED);
}

static void
attempt_ended(struct request *request, const struct load_attempt *attempt)
{
	const struct load_progress progress = progress_of(request);
	const struct load_next next = load_step_after(&progress, attempt);

	if (attempt->end == LOAD_END_REFUSED)
		load_results_refused(request->client->results, request->team,
		    &attempt->refusal, request->within);
	take_step(request, attempt, &next);
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
got_headers(void *arg, struct loom_fetch *fetch)
{
	struct request *request = arg;

	request->status = loom_fetch_status(fetch);
	request->problem = loom_fetch_header(fetch, "Loom-Code") != NULL;
}

static bool
got_data(void *arg, const uint8_t *data, size_t len)
{
	struct request *request = arg;

	if (request->problem)
		g_string_append_len(request->body, (const char *)data,
		    (gssize)MIN(len, PROBLEM_MAX - request->body->len));
	return true;
}

static void
fetch_done(void *arg, const struct loom_fetch_end *end)
{
	struct request *request = arg;
	struct load_attempt attempt = {
		.end = LOAD_END_BROKEN,
		.sent = end->sent,
	};

	if (end->result == LOOM_FETCH_WHOLE) {
		if (request->problem &&
		    loom_refusal_parse(request->body->str, request->body->len,
			&attempt.refusal))
			attempt.end = LOAD_END_REFUSED;
		else if (request->status >= 200 && request->status < 300)
			attempt.end = LOAD_END_ANSWER;
		else
			attempt.end = LOAD_END_STATUS;
	}
	attempt_ended(request, &attempt);
}

/* Borrowed from the settings. */
static const char *
choose_entry(const struct request *request)
{
	char **entries = request->client->settings->entries;
	gint32 n = (gint32)g_strv_length(entries);
	gint32 i = g_rand_int_range(request->client->rand, 0, n);

	return entries[i];
}

static bool
start_fetch(struct request *request, uint64_t left_us)
{
	static const struct loom_fetch_ops ops = {
		.read_body = read_body,
		.headers = got_headers,
		.data = got_data,
		.done = fetch_done,
	};
	char root[TEXT_SIZE], deadline[TEXT_SIZE];
	char *part = part_id(request);
	struct loom_header headers[HEADERS] = {
		{ "Loom-Key", team_of(request)->key },
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
		.nheaders = request->ticket[0] != '\0' ? HEADERS : HEADERS - 1,
		.has_body = request->route->body_bytes > 0,
		.body_length = request->route->body_bytes,
		.timeout_us = left_us + GRACE_US,
		.ops = &ops,
		.arg = request,
	};

	g_snprintf(root, sizeof(root), "%s-%" G_GUINT64_FORMAT,
	    request->client->tag, request->number);
	g_snprintf(deadline, sizeof(deadline), "%" G_GUINT64_FORMAT,
	    MAX(left_us / LOOM_US_PER_MS, 1));
	request->fetch = loom_fetch_start(request->client->fetcher, &fetch);
	g_free(part);
	return request->fetch != NULL;
}

static void
send_attempt(struct request *request)
{
	const struct load_progress progress = progress_of(request);

	request->status = 0;
	request->problem = false;
	request->body_left = request->route->body_bytes;
	g_string_truncate(request->body, 0);
	/* A request that only brings a ticket back takes no token. */
	request->within = (!progress.ticketed || progress.has_ticket) &&
	    load_results_attempt(
		request->client->results, request->team, now_us(request));
	if (!start_fetch(request, progress.left_us))
		end_request(request, LOAD_FINISH_FAILED);
}

void
load_request_start(struct load_client *client, uint32_t team,
    const struct load_route *route, uint64_t arrived_us)
{
	struct request *request;

	client->last_number++;
	if (client->open >= client->settings->outstanding) {
		load_results_finish(client->results, team, route,
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
	request->attempts_left = team_of(request)->attempts - 1;
	client->open++;
	send_attempt(request);
}
