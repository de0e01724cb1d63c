/*
 * Sends requests to the processes of a testbed: through libcurl, and over plain
 * sockets for byte sequences that libcurl would not send.
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
append_to_string(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

/* The last value of the header, owned; NULL when it is missing. */
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
parse_loom_headers(struct testbed_reply *reply)
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

/*
 * Resets the handle first, so that no option of an earlier request applies to
 * this one.  curl_easy_reset() keeps open connections for reuse.
 */
static void
set_request_options(struct testbed_caller *caller,
    const struct testbed_request *request, const char *url,
    struct curl_slist *header_list)
{
	CURL *easy = caller->easy;
	long timeout_ms = request->give_up_ms > 0 ? (long)request->give_up_ms
						  : (long)TESTBED_WAIT_MS;

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	if (request->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_len);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (strcmp(request->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, header_list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_to_string);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append_to_string);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
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
    const struct testbed_request *request, struct testbed_reply *reply)
{
	const struct testbed_host *host =
	    &caller->testbed->hosts[request->host];
	GString *response_body = g_string_new(NULL),
		*response_headers = g_string_new(NULL);
	struct curl_slist *header_list = curl_slist_append(NULL, "Expect:");
	const char *const *header;
	double total_s = 0;
	char *url;

	memset(reply, 0, sizeof(*reply));
	for (header = request->headers; header != NULL && *header != NULL;
	     header++)
		header_list = curl_slist_append(header_list, *header);
	url = g_strdup_printf("http%s://%s:%d%s",
	    host->tls_cert_file != NULL ? "s" : "", host->ip,
	    TESTBED_PORT_CALLERS, request->path);
	set_request_options(caller, request, url, header_list);
	if (host->tls_cert_file != NULL)
		curl_easy_setopt(
		    caller->easy, CURLOPT_CAINFO, host->tls_cert_file);
	curl_easy_setopt(caller->easy, CURLOPT_WRITEDATA, response_body);
	curl_easy_setopt(caller->easy, CURLOPT_HEADERDATA, response_headers);
	reply->curl_code = (int)curl_easy_perform(caller->easy);
	curl_easy_getinfo(caller->easy, CURLINFO_RESPONSE_CODE, &reply->status);
	curl_easy_getinfo(caller->easy, CURLINFO_TOTAL_TIME, &total_s);
	reply->total_ms = total_s * 1000;
	curl_slist_free_all(header_list);
	g_free(url);
	reply->body_len = response_body->len;
	reply->body = g_string_free(response_body, FALSE);
	reply->headers = g_string_free(response_headers, FALSE);
	parse_loom_headers(reply);
}

void
testbed_call(struct testbed *testbed, uint32_t host, const char *method,
    const char *path, const char *const *headers, const char *body,
    size_t body_len, struct testbed_reply *reply)
{
	const struct testbed_request request = {
		.host = host,
		.method = method,
		.path = path,
		.headers = headers,
		.body = body,
		.body_len = body_len,
	};
	struct testbed_caller caller;

	testbed_caller_init(&caller, testbed);
	testbed_caller_call(&caller, &request, reply);
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
connect_to_port(const struct testbed *testbed, uint32_t host, uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(testbed->hosts[host].ip),
	};
	struct timeval timeout = { .tv_sec = TESTBED_WAIT_MS / 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

int
testbed_connect(struct testbed *testbed, uint32_t host)
{
	return connect_to_port(testbed, host, TESTBED_PORT_CALLERS);
}

int
testbed_connect_control(struct testbed *testbed, uint32_t host)
{
	return connect_to_port(testbed, host, TESTBED_PORT_CONTROL);
}

struct upstream_wait {
	const struct testbed *testbed;
	uint32_t host;
};

static bool
upstream_accepts_connections(void *arg)
{
	const struct upstream_wait *wait = arg;
	int fd =
	    connect_to_port(wait->testbed, wait->host, TESTBED_PORT_UPSTREAM);

	if (fd < 0)
		return false;
	close(fd);
	return true;
}

bool
testbed_wait_upstream(struct testbed *testbed, uint32_t host)
{
	struct upstream_wait wait = { .testbed = testbed, .host = host };

	return testbed_wait_condition(upstream_accepts_connections, &wait);
}

char *
testbed_send_raw(struct testbed *testbed, uint32_t host, const char *bytes,
    size_t len, const char *until)
{
	GString *response = g_string_new(NULL);
	int fd = testbed_connect(testbed, host);
	char buf[4096];
	ssize_t received;

	if (fd >= 0 && send(fd, bytes, len, MSG_NOSIGNAL) == (ssize_t)len) {
		while ((received = recv(fd, buf, sizeof(buf), 0)) > 0) {
			g_string_append_len(response, buf, received);
			if (until != NULL &&
			    strstr(response->str, until) != NULL)
				break;
		}
	}
	if (fd >= 0)
		close(fd);
	return g_string_free(response, FALSE);
}

char *
testbed_read_to_end(int fd, bool *closed)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	ssize_t received;

	while ((received = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(text, buf, received);
	*closed = received == 0;
	return g_string_free(text, FALSE);
}
