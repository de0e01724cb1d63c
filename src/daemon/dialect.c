/*
 * The default HTTP dialect (docs/CALLERS.md).
 */

#include <string.h>

#include "daemon/headers.h"

#define MS_PER_S 1000

static const char bearer_prefix[] = "Bearer ";
static const char own_header_prefix[] = "Loom-";

const char *
loom_dialect_bearer(const struct loom_exchange *x)
{
	const char *value = loom_exchange_header(x, "Authorization");

	if (value == NULL ||
	    g_ascii_strncasecmp(
		value, bearer_prefix, sizeof(bearer_prefix) - 1) != 0)
		return NULL;
	return value + sizeof(bearer_prefix) - 1;
}

static const char *
own_key(const struct loom_exchange *x)
{
	const char *key = loom_exchange_header(x, HEADER_KEY);

	return key != NULL ? key : loom_dialect_bearer(x);
}

static bool
own_is_own_header(const char *name)
{
	return g_ascii_strncasecmp(
		   name, own_header_prefix, sizeof(own_header_prefix) - 1) == 0;
}

static void
own_upstream_headers(const struct loom_upstream_request_info *facts,
    loom_header_add add, void *arg)
{
	char text[32];

	add(arg, HEADER_REQUEST_ID, facts->request_id);
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
	    (guint64)(facts->remaining_us / LOOM_US_PER_MS));
	add(arg, HEADER_DEADLINE_MS, text);
	if (facts->team != NULL)
		add(arg, HEADER_TEAM, facts->team);
}

static enum loom_answer_kind
own_judge(const struct loom_fetch *fetch, const char *request_id)
{
	(void)fetch;
	(void)request_id;
	return LOOM_ANSWER_RAN;
}

static bool
own_health_cold(const struct loom_fetch *fetch, uint64_t *remaining_us)
{
	const char *text = loom_fetch_header(fetch, HEADER_COLD_MS);

	if (loom_fetch_status(fetch) != 200)
		return false;
	*remaining_us = text == NULL
	    ? 0
	    : g_ascii_strtoull(text, NULL, 10) * LOOM_US_PER_MS;
	return true;
}

static bool
own_load_report(const struct loom_fetch *fetch, struct loom_load_report *report)
{
	const char *text = loom_fetch_header(fetch, HEADER_LOAD);

	return text != NULL && loom_load_report_parse(text, report);
}

static uint16_t
own_status(const struct loom_refusal *refusal)
{
	return loom_result_info(refusal->code)->http_status;
}

/* Retry-After is in whole seconds (RFC 9110, section 10.2.3). */
static void
own_retry_after(uint32_t wait_ms, char *text, size_t size)
{
	g_snprintf(text, size, "%u", (wait_ms + MS_PER_S - 1) / MS_PER_S);
}

const struct loom_dialect loom_dialect_own = {
	.deadline_header = HEADER_DEADLINE_MS,
	.request_id_header = HEADER_REQUEST_ID,
	.passes_context = true,
	.ready_path = "/health",
	.key = own_key,
	.is_own_header = own_is_own_header,
	.upstream_headers = own_upstream_headers,
	.health_cold = own_health_cold,
	.load_report = own_load_report,
	.rate_header = HEADER_MAX_RATE,
	.leaving_header = HEADER_LEAVING,
	.classify_answer = own_judge,
	.status = own_status,
	.retry_after = own_retry_after,
};
