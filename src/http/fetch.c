/*
 * One HTTP request by libcurl.
 *
 * Handles are kept for reuse: making one costs more than the request itself.
 * libcurl may not be told to remove or unpause a handle from inside one of
 * its callbacks, so both go through a tevent immediate.
 */

#include <string.h>

#include "loom/clock.h"
#include "loom/fetch.h"
#include "loom/result.h"

/* Kept connections of a worker.  An upstream of the users' largest kind has
 * 200 slots; peers of all called services come on top. */
#define CONNECTIONS_KEPT 512

/* Less than the idle timeout of a daemon's server and of common upstreams, so
 * that a kept connection is closed from this side first and a request does
 * not race with its closing. */
#define CONNECTION_IDLE_S 15

/* A connection takes about 1 ms.  Within this time a full accept queue drops
 * one SYN (1 s until it is sent again) and still succeeds. */
#define CONNECT_TIMEOUT_MS 1500

#define HANDLES_KEPT 256

struct loom_fetcher {
	struct tevent_context *ev; /* borrowed */
	struct loom_multi *multi; /* owned */
	CURL *spare[HANDLES_KEPT]; /* owned */
	size_t nspare;
	bool ended; /* handles that come back are not kept */
};

struct loom_fetch {
	struct loom_fetcher *fetcher; /* borrowed */
	struct tevent_immediate *later;
	CURL *easy; /* owned */
	struct curl_slist *sent_headers; /* owned */
	const struct loom_fetch_ops *ops;
	void *arg;
	GArray *headers; /* owned: struct loom_header with owned strings */
	uint64_t until_us; /* when the time is up */
	uint64_t data_bytes;
	uint16_t status;
	bool has_body;
	bool headers_done;
	bool sent;
	bool body_paused;
	bool data_paused;
	bool read_ended; /* nothing more will be read */
	bool cancelled;
	bool rejected;
	bool expect;
};

static int
fetcher_destructor(struct loom_fetcher *fetcher)
{
	/* talloc frees requests under way after this. */
	fetcher->ended = true;
	TALLOC_FREE(fetcher->multi);
	while (fetcher->nspare > 0)
		curl_easy_cleanup(fetcher->spare[--fetcher->nspare]);
	return 0;
}

struct loom_fetcher *
loom_fetcher_new(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loom_fetcher *fetcher = talloc_zero(mem, struct loom_fetcher);

	if (fetcher == NULL)
		return NULL;
	fetcher->ev = ev;
	fetcher->multi = loom_multi_new(fetcher, ev);
	if (fetcher->multi == NULL) {
		talloc_free(fetcher);
		return NULL;
	}
	curl_multi_setopt(loom_multi_handle(fetcher->multi),
	    CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_KEPT);
	talloc_set_destructor(fetcher, fetcher_destructor);
	return fetcher;
}

static CURL *
take_handle(struct loom_fetcher *fetcher)
{
	CURL *easy;

	if (fetcher->nspare == 0)
		return curl_easy_init();
	easy = fetcher->spare[--fetcher->nspare];
	curl_easy_reset(easy);
	return easy;
}

static void
give_back_handle(struct loom_fetcher *fetcher, CURL *easy)
{
	if (fetcher->nspare < HANDLES_KEPT && !fetcher->ended)
		fetcher->spare[fetcher->nspare++] = easy;
	else
		curl_easy_cleanup(easy);
}

static void
clear_headers(GArray *headers)
{
	struct loom_header *header;
	guint i;

	for (i = 0; i < headers->len; i++) {
		header = &g_array_index(headers, struct loom_header, i);
		g_free((char *)header->name);
		g_free((char *)header->value);
	}
	g_array_set_size(headers, 0);
}

static int
fetch_destructor(struct loom_fetch *fetch)
{
	if (fetch->easy != NULL)
		give_back_handle(fetch->fetcher, fetch->easy);
	curl_slist_free_all(fetch->sent_headers);
	if (fetch->headers != NULL) {
		clear_headers(fetch->headers);
		g_array_free(fetch->headers, TRUE);
	}
	return 0;
}

/* NOLINTBEGIN(readability-non-const-parameter): libcurl's type */
/* libcurl is about to send: from here on nobody can say "not run". */
static int
before_request(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct loom_fetch *fetch = arg;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (fetch->sent)
		return CURL_PREREQFUNC_ABORT;
	fetch->sent = true;
	return CURL_PREREQFUNC_OK;
}
/* NOLINTEND(readability-non-const-parameter) */

static size_t
read_body(char *buf, size_t size, size_t n, void *arg)
{
	struct loom_fetch *fetch = arg;
	bool end = false;
	size_t got;

	if (fetch->cancelled)
		return CURL_READFUNC_ABORT;
	got = fetch->ops->read_body(fetch->arg, (uint8_t *)buf, size * n, &end);
	if (got == 0 && !end && fetch->read_ended)
		return CURL_READFUNC_ABORT;
	if (got == 0 && !end) {
		fetch->body_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	return got;
}

static void
add_header(struct loom_fetch *fetch, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	struct loom_header header;

	if (colon == NULL)
		return;
	header.name = g_strndup(line, (gsize)(colon - line));
	header.value =
	    g_strstrip(g_strndup(colon + 1, len - (size_t)(colon - line) - 1));
	g_array_append_val(fetch->headers, header);
}

static bool
is_blank(const char *line, size_t len)
{
	return len == 0 || line[0] == '\r' || line[0] == '\n';
}

static size_t
take_header(char *line, size_t size, size_t n, void *arg)
{
	struct loom_fetch *fetch = arg;
	size_t len = size * n;
	long status = 0;

	if (fetch->cancelled)
		return 0;
	if (fetch->headers_done)
		return len; /* trailers are dropped */
	if (len > 5 && memcmp(line, "HTTP/", 5) == 0) {
		clear_headers(fetch->headers);
		return len;
	}
	if (!is_blank(line, len)) {
		add_header(fetch, line, len);
		return len;
	}
	curl_easy_getinfo(fetch->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200)
		return len;
	fetch->status = (uint16_t)status;
	fetch->headers_done = true;
	if (fetch->ops->headers != NULL)
		fetch->ops->headers(fetch->arg, fetch);
	return fetch->rejected ? 0 : len;
}

static size_t
take_data(char *data, size_t size, size_t n, void *arg)
{
	struct loom_fetch *fetch = arg;

	if (fetch->cancelled)
		return 0;
	/* A pause asked for by the last piece: this piece waits in libcurl. */
	if (fetch->data_paused)
		return CURL_WRITEFUNC_PAUSE;
	fetch->data_bytes += size * n;
	if (!fetch->ops->data(fetch->arg, (const uint8_t *)data, size * n))
		fetch->data_paused = true;
	return size * n;
}

/*
 * libcurl has one code for both of its limits.  A host that is cut off drops
 * what it is sent: connecting takes CONNECT_TIMEOUT_MS and fails with most of
 * the call's time left.  Taken for the call's end, the caller would be refused
 * by its deadline long before it, and nobody would try another host.
 */
static bool
time_is_up(const struct loom_fetch *fetch)
{
	return fetch->sent || loom_now_us() >= fetch->until_us;
}

/* An answer that came before the request's body had ended, and all of it. */
static bool
is_whole_early(const struct loom_fetch *fetch)
{
	return fetch->read_ended && fetch->headers_done &&
	    loom_fetch_length(fetch) == (int64_t)fetch->data_bytes;
}

static enum loom_fetch_result
classify(const struct loom_fetch *fetch, CURLcode code)
{
	if (code == CURLE_OK)
		return LOOM_FETCH_WHOLE;
	if (code == CURLE_ABORTED_BY_CALLBACK && is_whole_early(fetch))
		return LOOM_FETCH_WHOLE;
	if (code == CURLE_OPERATION_TIMEDOUT && time_is_up(fetch))
		return LOOM_FETCH_TIMEOUT;
	return fetch->sent ? LOOM_FETCH_CUT : LOOM_FETCH_CONNECT;
}

static void
transfer_done(void *arg, CURL *easy, CURLcode code)
{
	struct loom_fetch *fetch = arg;
	struct loom_fetch_end end = {
		.result = classify(fetch, code),
		.sent = fetch->sent,
		.answered = fetch->headers_done,
		.reason = curl_easy_strerror(code),
	};

	(void)easy;
	if (!fetch->cancelled)
		fetch->ops->done(fetch->arg, &end);
	talloc_free(fetch);
}

static bool
build_headers(struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	struct curl_slist *list = NULL, *longer;
	size_t i;
	char *line;

	list = curl_slist_append(
	    NULL, req->expect ? "Expect: 100-continue" : "Expect:");
	for (i = 0; i < req->nheaders; i++) {
		/* libcurl's way to send a header that has no value. */
		line = req->headers[i].value[0] == '\0'
		    ? g_strconcat(req->headers[i].name, ";", NULL)
		    : g_strconcat(req->headers[i].name, ": ",
			  req->headers[i].value, NULL);
		longer = curl_slist_append(list, line);
		g_free(line);
		if (longer == NULL) {
			curl_slist_free_all(list);
			return false;
		}
		list = longer;
	}
	fetch->sent_headers = list;
	return list != NULL;
}

static void
set_body(
    CURL *easy, struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	if (strcmp(req->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (req->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
		curl_easy_setopt(easy, CURLOPT_READDATA, fetch);
		if (req->body_length >= 0)
			curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			    (curl_off_t)req->body_length);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
}

static void
set_options(
    CURL *easy, struct loom_fetch *fetch, const struct loom_fetch_request *req)
{
	long timeout_ms = (long)(req->timeout_us / 1000);

	timeout_ms = MAX(timeout_ms, 1);
	fetch->until_us = loom_now_us() + (uint64_t)timeout_ms * LOOM_US_PER_MS;
	curl_easy_setopt(easy, CURLOPT_URL, req->url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
	    MIN(timeout_ms, (long)CONNECT_TIMEOUT_MS));
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
	    req->idle_ms == 0 ? (long)CONNECTION_IDLE_S
			      : (long)(req->idle_ms / 1000));
	curl_easy_setopt(easy, CURLOPT_EXPECT_100_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, fetch->sent_headers);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, fetch);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, fetch);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, fetch);
	loom_multi_set_source(easy, req->source);
	set_body(easy, fetch, req);
}

static void
unpause(struct tevent_context *ev, struct tevent_immediate *later, void *arg)
{
	struct loom_fetch *fetch = arg;

	(void)ev;
	(void)later;
	/* May end the transfer, and with it the fetch: nothing after this. */
	curl_easy_pause(fetch->easy, CURLPAUSE_CONT);
}

static void
schedule_unpause(struct loom_fetch *fetch)
{
	tevent_schedule_immediate(
	    fetch->later, fetch->fetcher->ev, unpause, fetch);
}

/*
 * The other side has answered, or is gone, while our caller sends nothing
 * more.  libcurl waits for the body then and would tell neither before the
 * call's deadline: the body's reader is asked once more, and ends it.
 */
static void
read_ended(void *arg)
{
	struct loom_fetch *fetch = arg;

	if (fetch->cancelled || fetch->data_paused)
		return;
	fetch->read_ended = true;
	if (!fetch->body_paused)
		return;
	fetch->body_paused = false;
	schedule_unpause(fetch);
}

struct loom_fetch *
loom_fetch_start(
    struct loom_fetcher *fetcher, const struct loom_fetch_request *req)
{
	struct loom_fetch *fetch = talloc_zero(fetcher, struct loom_fetch);

	if (fetch == NULL)
		return NULL;
	fetch->fetcher = fetcher;
	fetch->ops = req->ops;
	fetch->arg = req->arg;
	fetch->headers = g_array_new(FALSE, FALSE, sizeof(struct loom_header));
	talloc_set_destructor(fetch, fetch_destructor);
	fetch->later = tevent_create_immediate(fetch);
	fetch->easy = take_handle(fetcher);
	if (fetch->later == NULL || fetch->easy == NULL ||
	    !build_headers(fetch, req))
		goto error;
	set_options(fetch->easy, fetch, req);
	if (!loom_multi_add(fetcher->multi, fetch->easy, transfer_done, fetch))
		goto error;
	loom_multi_on_read_end(fetcher->multi, fetch->easy, read_ended);
	return fetch;

error:
	talloc_free(fetch);
	return NULL;
}

void
loom_fetch_more_body(struct loom_fetch *fetch)
{
	if (!fetch->body_paused)
		return;
	fetch->body_paused = false;
	schedule_unpause(fetch);
}

void
loom_fetch_resume(struct loom_fetch *fetch)
{
	if (!fetch->data_paused)
		return;
	fetch->data_paused = false;
	schedule_unpause(fetch);
}

void
loom_fetch_reject(struct loom_fetch *fetch)
{
	fetch->rejected = true;
}

static void
remove_later(
    struct tevent_context *ev, struct tevent_immediate *later, void *arg)
{
	struct loom_fetch *fetch = arg;

	(void)ev;
	(void)later;
	loom_multi_remove(fetch->fetcher->multi, fetch->easy);
	talloc_free(fetch);
}

void
loom_fetch_cancel(struct loom_fetch *fetch)
{
	if (fetch->cancelled)
		return;
	fetch->cancelled = true;
	tevent_schedule_immediate(
	    fetch->later, fetch->fetcher->ev, remove_later, fetch);
}

uint16_t
loom_fetch_status(const struct loom_fetch *fetch)
{
	return fetch->status;
}

const struct loom_header *
loom_fetch_headers(const struct loom_fetch *fetch, size_t *n)
{
	*n = fetch->headers->len;
	return (const struct loom_header *)(const void *)fetch->headers->data;
}

const char *
loom_fetch_header(const struct loom_fetch *fetch, const char *name)
{
	const struct loom_header *headers;
	size_t i, n;

	headers = loom_fetch_headers(fetch, &n);
	for (i = 0; i < n; i++) {
		if (g_ascii_strcasecmp(headers[i].name, name) == 0)
			return headers[i].value;
	}
	return NULL;
}

int64_t
loom_fetch_length(const struct loom_fetch *fetch)
{
	const char *length = loom_fetch_header(fetch, "Content-Length");

	if (loom_fetch_header(fetch, "Transfer-Encoding") != NULL ||
	    length == NULL)
		return -1;
	return g_ascii_strtoll(length, NULL, 10);
}

bool
loom_fetch_sent(const struct loom_fetch *fetch)
{
	return fetch->sent;
}
