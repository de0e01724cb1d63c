/*
 * Asking a fleet of real processes: calls by libcurl, and plain connections
 * for what libcurl would not send.
 */

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/testbed.h"

static size_t
append(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static char *
find_header(const char *headers, const char *name)
{
	char **lines = g_strsplit(headers, "\r\n", -1);
	size_t len = strlen(name);
	char *value = NULL;
	char **line;

	for (line = lines; *line != NULL; line++) {
		if (g_ascii_strncasecmp(*line, name, len) == 0 &&
		    (*line)[len] == ':') {
			g_free(value);
			value = g_strdup(g_strstrip(*line + len + 1));
		}
	}
	g_strfreev(lines);
	return value;
}

static void
read_marks(struct testbed_reply *reply)
{
	char *code = find_header(reply->headers, "Loom-Code");
	char *outcome = find_header(reply->headers, "Loom-Outcome");

	if (code != NULL)
		reply->code = atoi(code);
	if (outcome != NULL)
		g_strlcpy(reply->outcome, outcome, sizeof(reply->outcome));
	g_free(code);
	g_free(outcome);
}

/* All options are set anew for each call; the connections stay. */
static void
set_request(struct testbed_caller *caller, const struct testbed_request *asked,
    const char *url, struct curl_slist *list)
{
	CURL *easy = caller->easy;
	long limit_ms = asked->give_up_ms > 0 ? (long)asked->give_up_ms
					      : (long)TESTBED_WAIT_MS;

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	if (asked->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, asked->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)asked->body_len);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, asked->method);
	if (strcmp(asked->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, limit_ms);
}

void
testbed_caller_init(struct testbed_caller *caller, struct testbed *testbed)
{
	caller->testbed = testbed;
	caller->easy = curl_easy_init();
}

void
testbed_caller_clear(struct testbed_caller *caller)
{
	curl_easy_cleanup(caller->easy);
	caller->easy = NULL;
}

void
testbed_caller_call(struct testbed_caller *caller,
    const struct testbed_request *asked, struct testbed_reply *reply)
{
	const struct testbed_host *host = &caller->testbed->hosts[asked->host];
	GString *answer = g_string_new(NULL), *head = g_string_new(NULL);
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	const char *const *header;
	double total_s = 0;
	char *url;

	memset(reply, 0, sizeof(*reply));
	for (header = asked->headers; header != NULL && *header != NULL;
	     header++)
		list = curl_slist_append(list, *header);
	url = g_strdup_printf("http%s://%s:%d%s",
	    host->tls_cert_file != NULL ? "s" : "", host->ip,
	    TESTBED_PORT_CALLERS, asked->path);
	set_request(caller, asked, url, list);
	if (host->tls_cert_file != NULL)
		curl_easy_setopt(
		    caller->easy, CURLOPT_CAINFO, host->tls_cert_file);
	curl_easy_setopt(caller->easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(caller->easy, CURLOPT_HEADERDATA, head);
	reply->curl = (int)curl_easy_perform(caller->easy);
	curl_easy_getinfo(caller->easy, CURLINFO_RESPONSE_CODE, &reply->status);
	curl_easy_getinfo(caller->easy, CURLINFO_TOTAL_TIME, &total_s);
	reply->total_ms = total_s * 1000;
	curl_slist_free_all(list);
	g_free(url);
	reply->body_len = answer->len;
	reply->body = g_string_free(answer, FALSE);
	reply->headers = g_string_free(head, FALSE);
	read_marks(reply);
}

void
testbed_call(struct testbed *testbed, uint32_t host, const char *method,
    const char *path, const char *const *headers, const char *body,
    size_t body_len, struct testbed_reply *reply)
{
	const struct testbed_request asked = {
		.host = host,
		.method = method,
		.path = path,
		.headers = headers,
		.body = body,
		.body_len = body_len,
	};
	struct testbed_caller caller;

	testbed_caller_init(&caller, testbed);
	testbed_caller_call(&caller, &asked, reply);
	testbed_caller_clear(&caller);
}

void
testbed_reply_clear(struct testbed_reply *reply)
{
	g_free(reply->headers);
	g_free(reply->body);
	memset(reply, 0, sizeof(*reply));
}

static int
connect_to(const struct testbed *testbed, uint32_t host, uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(testbed->hosts[host].ip),
	};
	struct timeval limit = { .tv_sec = TESTBED_WAIT_MS / 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

int
testbed_connect(struct testbed *testbed, uint32_t host)
{
	return connect_to(testbed, host, TESTBED_PORT_CALLERS);
}

int
testbed_connect_control(struct testbed *testbed, uint32_t host)
{
	return connect_to(testbed, host, TESTBED_PORT_CONTROL);
}

struct listen_wait {
	const struct testbed *testbed;
	uint32_t host;
};

static bool
upstream_listens(void *arg)
{
	const struct listen_wait *wait = arg;
	int fd = connect_to(wait->testbed, wait->host, TESTBED_PORT_UPSTREAM);

	if (fd < 0)
		return false;
	close(fd);
	return true;
}

bool
testbed_wait_upstream(struct testbed *testbed, uint32_t host)
{
	struct listen_wait wait = { .testbed = testbed, .host = host };

	return testbed_wait_condition(upstream_listens, &wait);
}

char *
testbed_raw(struct testbed *testbed, uint32_t host, const char *bytes,
    size_t len, const char *until)
{
	GString *answer = g_string_new(NULL);
	int fd = testbed_connect(testbed, host);
	char buf[4096];
	ssize_t got;

	if (fd >= 0 && send(fd, bytes, len, MSG_NOSIGNAL) == (ssize_t)len) {
		while ((got = recv(fd, buf, sizeof(buf), 0)) > 0) {
			g_string_append_len(answer, buf, got);
			if (until != NULL && strstr(answer->str, until) != NULL)
				break;
		}
	}
	if (fd >= 0)
		close(fd);
	return g_string_free(answer, FALSE);
}

char *
testbed_read_to_end(int fd, bool *closed)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	ssize_t got;

	while ((got = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(text, buf, got);
	*closed = got == 0;
	return g_string_free(text, FALSE);
}
