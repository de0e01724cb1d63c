/*
 * Forwards the request body to the leg and the answer back to the caller.
 *
 * Both directions buffer at most a fixed number of bytes; a faster sender is
 * slowed down by TCP flow control.  An answer of up to CALL_BUFFER_MAX is
 * buffered until it is complete, so that a broken connection results in a
 * proper refusal.  A longer answer is streamed, and a broken leg then also
 * breaks the connection to the caller.
 */

#include <string.h>

#include "daemon/headers.h"

#define BODY_HIGH_WATER_BYTES (64 * 1024)
#define DISCARDED_MAX_BYTES (256 * 1024)

/* With fleet.entry_decides the limit of the entry's manifest is final, which
 * may be another than the executor's. */
static bool
exceeds_body_limit(const struct call *call)
{
	if (call->origin == CALL_ORIGIN_PEER &&
	    call->manifest->fleet.entry_decides)
		return false;
	return call->body_bytes > call->route->max_body_bytes;
}

size_t
relay_take_body(struct call *call, const uint8_t *data, size_t len)
{
	size_t room = BODY_HIGH_WATER_BYTES;

	if (!call->body_buffered) {
		room -= MIN(room, loom_buffer_length(&call->body));
		len = MIN(len, room);
	}
	call->body_bytes += len;
	if (exceeds_body_limit(call)) {
		call_fail(call, LOOM_BODY_TOO_LARGE);
		return len;
	}
	if (!loom_buffer_append(&call->body, call, data, len)) {
		call_fail(call, LOOM_NO_MEMORY);
		return len;
	}
	if (call->fetch != NULL)
		loom_fetch_resume_body(call->fetch);
	else
		upstream_body_progress(call);
	return len;
}

void
relay_body_end(struct call *call)
{
	call->body_ended = true;
	if (call->body_buffered)
		call_body_complete(call);
	else if (call->fetch != NULL)
		loom_fetch_resume_body(call->fetch);
	else
		upstream_body_progress(call);
}

size_t
relay_read_body(void *arg, uint8_t *buf, size_t max, bool *end)
{
	struct call *call = arg;
	size_t len = MIN(max, loom_buffer_length(&call->body));

	if (len > 0) {
		memcpy(buf, loom_buffer_peek(&call->body), len);
		loom_buffer_consume(&call->body, len);
	} else {
		*end = call->body_ended;
	}
	if (!call->body_ended && call->exchange != NULL &&
	    loom_buffer_length(&call->body) < BODY_HIGH_WATER_BYTES / 2)
		loom_exchange_resume_body(call->exchange);
	return len;
}

static void
collect_headers(struct call *call, struct header_list *list)
{
	header_list_init(list);
	headers_forward_answer(call->fetch, list);
	headers_add_hop(call, list);
}

void
relay_start_stream(struct call *call)
{
	struct header_list list;

	call->streaming = true;
	collect_headers(call, &list);
	loom_exchange_stream(call->exchange, loom_fetch_status(call->fetch),
	    header_list_items(&list), list.headers->len,
	    loom_fetch_content_length(call->fetch));
	header_list_clear(&list);
	loom_exchange_push(call->exchange, loom_buffer_peek(&call->answer),
	    loom_buffer_length(&call->answer));
	loom_buffer_clear(&call->answer);
}

/*
 * Drops a part of a body that nobody reads. An upstream in trouble may send it
 * without end, and nothing slows that down.
 */
static void
discard_data(struct call *call, size_t len)
{
	call->discarded_bytes += len;
	if (call->discarded_bytes > DISCARDED_MAX_BYTES)
		loom_fetch_reject(call->fetch);
}

/* Buffers the answer of a run whose caller has disconnected, unless it is
 * longer than CALL_BUFFER_MAX. */
static void
buffer_detached_answer(struct call *call, const uint8_t *data, size_t len)
{
	if (!call->answer_too_long &&
	    loom_buffer_length(&call->answer) + len <= CALL_BUFFER_MAX &&
	    loom_buffer_append(&call->answer, call, data, len))
		return;
	call->answer_too_long = true;
	discard_data(call, len);
}

bool
relay_data(void *arg, const uint8_t *data, size_t len)
{
	struct call *call = arg;

	if (call->streaming)
		return loom_exchange_push(call->exchange, data, len);
	if (call->answer_kind != LOOM_ANSWER_RAN) {
		discard_data(call, len);
		return true;
	}
	if (call->exchange_ended) {
		buffer_detached_answer(call, data, len);
		return true;
	}
	if (!loom_buffer_append(&call->answer, call, data, len)) {
		loom_exchange_abort(call->exchange);
		return true;
	}
	if (loom_buffer_length(&call->answer) > CALL_BUFFER_MAX)
		relay_start_stream(call);
	return true;
}

static bool
is_head(const struct call *call)
{
	return strcmp(loom_exchange_method(call->exchange), "HEAD") == 0;
}

void
relay_answer_complete(struct call *call)
{
	struct header_list list;

	loom_counter_add(call->worker->daemon->counters.answered, 1);
	call->span.status = loom_fetch_status(call->fetch);
	if (call->streaming) {
		loom_exchange_finish(call->exchange);
		return;
	}
	collect_headers(call, &list);
	if (is_head(call)) {
		loom_exchange_stream(call->exchange, call->span.status,
		    header_list_items(&list), list.headers->len,
		    loom_fetch_content_length(call->fetch));
		loom_exchange_finish(call->exchange);
	} else {
		loom_exchange_respond(call->exchange, call->span.status,
		    header_list_items(&list), list.headers->len,
		    loom_buffer_peek(&call->answer),
		    loom_buffer_length(&call->answer));
	}
	header_list_clear(&list);
}
