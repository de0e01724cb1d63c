/*
 * Issues tickets and limits how many a team obtains.
 *
 * A token of the team's rate is taken by the request that uses a ticket, not
 * when the ticket is issued: an unused ticket costs its executor two bits, and
 * charging for it would refuse requests that are within the rate.  Issuing
 * needs a limit nevertheless, or a client could keep executors busy for free.
 * Each worker issues a team at most as many tickets per second as its whole
 * rate.  That exceeds the rate by a factor of the number of workers, but needs
 * no communication with other daemons.
 */

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/headers.h"
#include "daemon/issue.h"
#include "loom/retry_after.h"

static const char tickets_path[] = "/.loom/tickets";

struct issue_bucket {
	uint64_t team_id;
	double level; /* tickets */
	uint64_t updated_us;
};

bool
issue_is_request(const struct loom_exchange *x)
{
	const char *target = loom_exchange_target(x);
	size_t len = sizeof(tickets_path) - 1;

	return strncmp(target, tickets_path, len) == 0 &&
	    (target[len] == '?' || target[len] == '\0');
}

/* Returns the value of a query parameter, owned by the caller (g_free);
 * NULL if it is missing. */
static char *
query_parameter(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char **pairs, **pair;
	char *value = NULL;
	size_t len = strlen(name);

	if (query == NULL)
		return NULL;
	pairs = g_strsplit(query + 1, "&", -1);
	for (pair = pairs; *pair != NULL && value == NULL; pair++) {
		if (strncmp(*pair, name, len) == 0 && (*pair)[len] == '=')
			value = g_uri_unescape_string(*pair + len + 1, NULL);
	}
	g_strfreev(pairs);
	return value;
}

enum loom_result
issue_parse(struct call *call)
{
	const char *target = loom_exchange_target(call->exchange);
	char *route = query_parameter(target, "route");
	char *count = query_parameter(target, "count");
	enum loom_result result = LOOM_BAD_REQUEST;
	unsigned long n = count != NULL ? strtoul(count, NULL, 10) : 1;

	if (strcmp(loom_exchange_method(call->exchange), "POST") != 0 ||
	    call->body_length != 0 || n < 1 || n > LOOM_TICKET_ISSUE_MAX)
		goto out;
	result = LOOM_ROUTE_UNKNOWN;
	if (route != NULL)
		call->route =
		    loom_manifest_route_by_name(call->manifest, route);
	if (call->route == NULL || call->route->repeatable) {
		call->route = NULL;
		goto out;
	}
	call->service = &call->manifest->services[call->route->service_index];
	call->issue_count = (uint32_t)n;
	result = LOOM_OK;
out:
	g_free(count);
	g_free(route);
	return result;
}

static struct issue_bucket *
find_bucket(
    struct worker *worker, const struct loom_team *team, uint64_t now_us)
{
	struct issue_bucket *bucket;

	bucket = g_hash_table_lookup(worker->issues, &team->id);
	if (bucket != NULL)
		return bucket;
	bucket = talloc_zero(worker, struct issue_bucket);
	bucket->team_id = team->id;
	bucket->level = MAX(team->burst, LOOM_TICKET_ISSUE_MAX);
	bucket->updated_us = now_us;
	g_hash_table_insert(worker->issues, &bucket->team_id, bucket);
	return bucket;
}

/* Returns the time until the missing tickets have accrued, at most
 * LOOM_RETRY_AFTER_MAX_MS.  With a rate of 0 they never do. */
static uint64_t
refill_wait_us(double missing, double rate_per_s)
{
	const double longest_us =
	    (double)LOOM_RETRY_AFTER_MAX_MS * (double)LOOM_US_PER_MS;

	if (missing * (double)LOOM_US_PER_S >= longest_us * rate_per_s)
		return (uint64_t)longest_us;
	return (uint64_t)(missing / rate_per_s * (double)LOOM_US_PER_S);
}

enum loom_result
issue_take_quota(struct call *call, uint32_t count, uint64_t now_us,
    uint64_t *retry_after_us)
{
	const struct loom_team *team;
	struct issue_bucket *bucket;
	double capacity;

	team = loom_manifest_team(call->manifest, call->context.team_id);
	if (team == NULL)
		return LOOM_KEY_WITHDRAWN;
	bucket = find_bucket(call->worker, team, now_us);
	capacity = MAX(team->burst, LOOM_TICKET_ISSUE_MAX);
	bucket->level += team->rate_per_s *
	    (double)(now_us - bucket->updated_us) / (double)LOOM_US_PER_S;
	bucket->level = MIN(bucket->level, capacity);
	bucket->updated_us = now_us;
	if (bucket->level < count) {
		*retry_after_us =
		    refill_wait_us(count - bucket->level, team->rate_per_s);
		return LOOM_TEAM_RATE;
	}
	bucket->level -= count;
	return LOOM_OK;
}

void
issue_answer(struct call *call)
{
	char texts[LOOM_TICKET_ISSUE_MAX][LOOM_TICKET_TEXT_MAX];
	struct json_object *object, *list;
	struct header_list headers;
	enum loom_result result;
	const char *text;
	uint32_t i;

	result = loom_tickets_issue(call->worker->daemon->tickets,
	    call->context.team_id, call->route->id, call->issue_count, texts);
	if (result != LOOM_OK) {
		executor_refuse_code(call, result, 0);
		return;
	}
	object = json_object_new_object();
	list = json_object_new_array();
	for (i = 0; i < call->issue_count; i++)
		json_object_array_add(list, json_object_new_string(texts[i]));
	json_object_object_add(object, "tickets", list);
	text = json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN);
	header_list_init(&headers);
	header_list_add(&headers, "Content-Type", "application/json");
	headers_add_hop(call, &headers);
	call->span.status = 200;
	loom_exchange_respond(call->exchange, 200, header_list_items(&headers),
	    headers.headers->len, text, strlen(text));
	header_list_clear(&headers);
	json_object_put(object);
}
