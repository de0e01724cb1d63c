/*
 * Starts and stops stand-in servers.  Each binds a free port of its own choice,
 * so concurrent test runs on one machine don't conflict.
 */

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/standin.h"

#define ARGS_MAX 16

static void
exec_standin(const char *path, int stdout_fd, const char *const *argv)
{
	const char *args[ARGS_MAX] = { path };
	size_t n = 1;

	while (argv != NULL && *argv != NULL && n + 1 < ARGS_MAX)
		args[n++] = *argv++;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(stdout_fd, STDOUT_FILENO);
	execv(path, (char *const *)args);
	_exit(127);
}

bool
test_standin_start(
    struct test_standin *standin, const char *program, const char *const *argv)
{
	const char *bin = getenv("LOOM_BIN");
	unsigned port = 0;
	FILE *lines;
	char *path;
	int fds[2];

	path = g_build_filename(bin != NULL ? bin : "build/bin", program, NULL);
	if (pipe(fds) != 0) {
		g_free(path);
		return false;
	}
	standin->pid = fork();
	if (standin->pid == 0)
		exec_standin(path, fds[1], argv);
	g_free(path);
	close(fds[1]);
	lines = fdopen(fds[0], "r");
	if (lines == NULL || fscanf(lines, "listening on %u", &port) != 1)
		port = 0;
	if (lines != NULL)
		fclose(lines);
	standin->port = (uint16_t)port;
	g_snprintf(
	    standin->url, sizeof(standin->url), "http://127.0.0.1:%u", port);
	return port != 0;
}

void
test_standin_stop(struct test_standin *standin)
{
	if (standin->pid <= 0)
		return;
	kill(standin->pid, SIGTERM);
	waitpid(standin->pid, NULL, 0);
	standin->pid = 0;
}

static size_t
append_response(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

char *
test_standin_call(const struct test_standin *standin, const char *method,
    const char *path, const char *body)
{
	GString *response = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	CURLcode result;
	char *url;

	url = g_strconcat(standin->url, path, NULL);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	result = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	g_free(url);
	return g_string_free(response, result != CURLE_OK);
}
