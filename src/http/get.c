/*
 * A blocking GET with libcurl's easy interface, for programs without an event
 * loop.
 */

#include <curl/curl.h>

#include "loom/http_get.h"

static size_t
append(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

char *
loom_http_get(const char *url, long timeout_ms, GError **error)
{
	GString *body = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	long status = 0;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	if (code == CURLE_OK && status == 200)
		return g_string_free(body, FALSE);
	if (code != CURLE_OK)
		loom_set_error(error, LOOM_HTTP_GET, "%s: %s", url,
		    curl_easy_strerror(code));
	else
		loom_set_error(
		    error, LOOM_HTTP_GET, "%s: status %ld", url, status);
	g_string_free(body, TRUE);
	return NULL;
}
