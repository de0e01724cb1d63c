/*
 * Tests loomd as a program: the output and exit status of its command line, its
 * reaction to signals, and to callers that send a request slowly or in part.
 */

#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support/certificate.h"
#include "support/test.h"
#include "support/testbed.h"

#define ARGUMENTS_MAX 3
#define WAIT_MS 20000
#define POLL_US 20000

#define SETTINGS                                                       \
	"\"host\":\"a-1\",\"service\":\"a\",\"data_centre\":\"d\","    \
	"\"region\":\"r\",\"listen\":\"@:7000\","                      \
	"\"peer_listen\":\"@:7100\","                                  \
	"\"control_listen\":\"@:7200\","                               \
	"\"upstream\":\"@:8000\","                                     \
	"\"platform\":\"http://@:8500\",\"fleet_secret\":\""           \
	"000102030405060708090a0b0c0d0e0f"                             \
	"101112131415161718191a1b1c1d1e1f\",\"trusted_signers\":[\""   \
	"3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4" \
	"660c\"]"

static const struct {
	const char *name;
	const char *text;
} files[] = {
	{ "good", "// comments are allowed\n{" SETTINGS "}" },
	{ "impatient", "{" SETTINGS ",\"idle_timeout_s\":1}" },
	{ "unknown", "{" SETTINGS ",\"idle_timout_s\":5}" },
	{ "two", "{" SETTINGS ",\"workers\":0,\"trace\":7}" },
	{ "missing", "{\"host\":\"a-1\"}" },
	{ "syntax", "{" SETTINGS ",\n\"workers\" 2}" },
	{ "no-cert", "{" SETTINGS ",\"tls_key_file\":\"a.key\"}" },
	{ "no-key-file",
	    "{" SETTINGS ",\"tls_key_file\":\"none.key\","
	    "\"tls_cert_file\":\"a.cert\"}" },
	{ "malformed",
	    "{" SETTINGS ",\"tls_key_file\":\"a.key\","
	    "\"tls_cert_file\":\"good\"}" },
	{ "swapped",
	    "{" SETTINGS ",\"tls_key_file\":\"a.cert\","
	    "\"tls_cert_file\":\"a.key\"}" },
	{ "mismatched",
	    "{" SETTINGS ",\"tls_key_file\":\"b.key\","
	    "\"tls_cert_file\":\"a.cert\"}" },
	{ "pair",
	    "{" SETTINGS ",\"tls_key_file\":\"a.key\","
	    "\"tls_cert_file\":\"a.cert\"}" },
};

/* Address unique to this process; replaces each @ in the files. */
static char ip[32];

static char *folder; /* owned; working directory of loomd */
static char *program; /* owned */

static bool
write_pair(const char *name)
{
	char *key = g_strdup_printf("%s/%s.key", folder, name);
	char *cert = g_strdup_printf("%s/%s.cert", folder, name);
	bool ok = test_certificate_write(ip, key, cert);

	g_free(cert);
	g_free(key);
	return ok;
}

static bool
write_files(void)
{
	bool ok = write_pair("a") && write_pair("b");
	char *file, *text, **parts;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(files); i++) {
		file = g_build_filename(folder, files[i].name, NULL);
		parts = g_strsplit(files[i].text, "@", -1);
		text = g_strjoinv(ip, parts);
		ok = g_file_set_contents(file, text, -1, NULL) && ok;
		g_free(text);
		g_strfreev(parts);
		g_free(file);
	}
	return ok;
}

static bool
set_up(void)
{
	const char *bin = g_getenv("LOOM_BIN");
	char *here = g_get_current_dir();

	if (bin == NULL)
		bin = "build/bin";
	program = g_path_is_absolute(bin)
	    ? g_build_filename(bin, "loomd", NULL)
	    : g_build_filename(here, bin, "loomd", NULL);
	g_free(here);
	g_snprintf(ip, sizeof(ip), "127.98.%u.%u",
	    ((unsigned)getpid() >> 8) % 256, (unsigned)getpid() % 256);
	folder = g_dir_make_tmp("loom-program-XXXXXX", NULL);
	return TEST_CHECK(folder != NULL && write_files(), "files");
}

static void
tear_down(void)
{
	const char *name;
	char *file;
	GDir *dir = g_dir_open(folder, 0, NULL);

	while ((name = g_dir_read_name(dir)) != NULL) {
		file = g_build_filename(folder, name, NULL);
		unlink(file);
		g_free(file);
	}
	g_dir_close(dir);
	rmdir(folder);
	g_free(folder);
	g_free(program);
}

struct command_case {
	const char *arguments[ARGUMENTS_MAX];
	int status;
	const char *out; /* a part of it; NULL: it is empty */
	const char *err[2]; /* parts of it; NULL, NULL: it is empty */
};

static const struct command_case command_cases[] = {
	{ { "--help" }, 0, "usage: loomd", { NULL } },
	{ { "--version" }, 0, "loomd ", { NULL } },
	{ { NULL }, 2, NULL, { "usage: loomd" } },
	{ { "--zebra" }, 2, NULL, { "zebra", "usage: loomd" } },
	{ { "good", "good" }, 2, NULL, { "usage: loomd" } },
	{ { "--check", "good" }, 0, "good: ok\n", { NULL } },
	{ { "--check", "absent" }, 1, NULL, { "1002 FILE_UNREADABLE" } },
	{ { "--check", "syntax" }, 1, NULL,
	    { "syntax:2", "1003 JSON_SYNTAX" } },
	{ { "--check", "unknown" }, 1, NULL,
	    { "1004 SETTING_UNKNOWN", "did you mean \"idle_timeout_s\"?" } },
	/* all errors are printed, not only the first */
	{ { "--check", "two" }, 1, NULL,
	    { "workers: 1006 SETTING_RANGE", "trace: 1005 SETTING_TYPE" } },
	{ { "--check", "missing" }, 1, NULL,
	    { "1007 SETTING_MISSING", "trusted_signers" } },
	{ { "--check", "no-cert" }, 1, NULL, { "1007 SETTING_MISSING" } },
	{ { "--check", "no-key-file" }, 1, NULL,
	    { "1002 FILE_UNREADABLE", "none.key" } },
	{ { "--check", "malformed" }, 1, NULL, { "1012 TLS_PAIR" } },
	{ { "--check", "swapped" }, 1, NULL, { "1012 TLS_PAIR" } },
	{ { "--check", "mismatched" }, 1, NULL, { "1012 TLS_PAIR" } },
	{ { "--check", "pair" }, 0, "pair: ok\n", { NULL } },
	/* the same errors prevent a start and are logged */
	{ { "unknown" }, 1, NULL, { "1004 SETTING_UNKNOWN" } },
	{ { "no-cert" }, 1, NULL, { "\"code\":1007" } },
	{ { "no-key-file" }, 1, NULL, { "\"code\":1002" } },
	{ { "malformed" }, 1, NULL, { "\"code\":1012" } },
	{ { "swapped" }, 1, NULL, { "\"code\":1012" } },
	{ { "mismatched" }, 1, NULL, { "\"code\":1012" } },
};

static bool
contains(const char *text, const char *part)
{
	return part == NULL || strstr(text, part) != NULL;
}

static void
check_command(const struct command_case *command_case)
{
	char *argv[ARGUMENTS_MAX + 2] = { program };
	char *out = NULL, *err = NULL;
	char *line;
	int status = -1;
	size_t i;

	for (i = 0; i < ARGUMENTS_MAX; i++)
		argv[i + 1] = (char *)command_case->arguments[i];
	line = g_strjoinv(" ", argv);
	TEST_CHECK(g_spawn_sync(folder, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
		       &out, &err, &status, NULL),
	    "%s", line);
	TEST_CHECK(
	    WIFEXITED(status) && WEXITSTATUS(status) == command_case->status,
	    "%s: %d", line, status);
	TEST_CHECK(command_case->out == NULL ? out[0] == '\0'
					     : contains(out, command_case->out),
	    "%s: %s", line, out);
	TEST_CHECK(command_case->err[0] == NULL
		? err[0] == '\0'
		: contains(err, command_case->err[0]) &&
		    contains(err, command_case->err[1]),
	    "%s: %s", line, err);
	g_free(line);
	g_free(err);
	g_free(out);
}

static void
test_command_line(void)
{
	size_t i;

	if (set_up()) {
		for (i = 0; i < G_N_ELEMENTS(command_cases); i++)
			check_command(&command_cases[i]);
	}
	tear_down();
}

static bool
is_serving(void)
{
	char *url = g_strdup_printf("http://%s:7000/.loom/health", ip);
	CURL *easy = curl_easy_init();
	CURLcode result;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	result = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	g_free(url);
	return result == CURLE_OK;
}

static bool
wait_until_serving(void)
{
	uint32_t tries = WAIT_MS * LOOM_US_PER_MS / POLL_US;

	while (!is_serving()) {
		if (tries-- == 0)
			return false;
		g_usleep(POLL_US);
	}
	return true;
}

static bool
start_daemon(const char *settings, GPid *pid)
{
	char *argv[] = { program, (char *)settings, NULL };
	bool ok = g_spawn_async(folder, argv, NULL,
	    G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL,
	    pid, NULL);

	return TEST_CHECK(
	    ok && wait_until_serving(), "%s: not serving", settings);
}

static bool
exits_cleanly(GPid pid)
{
	int status;

	return waitpid(pid, &status, 0) == pid && WIFEXITED(status) &&
	    WEXITSTATUS(status) == 0;
}

/*
 * SIGHUP, which a closing terminal sends and which operators send to reload
 * settings, neither changes anything nor ends the daemon. SIGTERM and SIGINT
 * shut it down gracefully, also when one follows the other.
 */
static void
test_signals(void)
{
	static const struct {
		const char *name;
		int signals[3];
	} cases[] = {
		{ "SIGTERM", { SIGTERM } },
		{ "SIGINT", { SIGINT } },
		{ "SIGHUP, then SIGTERM", { SIGHUP, SIGTERM } },
		{ "SIGTERM twice", { SIGTERM, SIGTERM } },
	};
	size_t i, j;
	GPid pid;

	if (!set_up())
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (!start_daemon("good", &pid))
			break;
		for (j = 0; cases[i].signals[j] != 0; j++) {
			kill(pid, cases[i].signals[j]);
			if (cases[i].signals[j] == SIGHUP)
				TEST_CHECK(is_serving(), "after SIGHUP");
		}
		TEST_CHECK(exits_cleanly(pid), "%s", cases[i].name);
	}
out:
	tear_down();
}

static int
connect_daemon(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(7000),
		.sin_addr.s_addr = inet_addr(ip),
	};
	struct timeval limit = { .tv_sec = WAIT_MS / 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	TEST_CHECK(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0,
	    "connect");
	return fd;
}

/*
 * A connection with an incomplete request is closed after the idle timeout,
 * without an answer, because it occupies a connection that another caller could
 * use. A caller that is only slow is served.
 */
static void
test_slow_callers(void)
{
	static const struct {
		const char *name;
		const char *bytes; /* sent one by one */
		const char *answer; /* its beginning */
	} cases[] = {
		{ "half a line", "GET /.loom/hea", "" },
		{ "half a head", "GET /.loom/health HTTP/1.1\r\nHost: a\r\n",
		    "" },
		{ "slow",
		    "GET /.loom/health HTTP/1.1\r\nHost: a\r\n"
		    "Connection: close\r\n\r\n",
		    "HTTP/1.1 503 " },
	};
	const char *byte;
	char *answer;
	bool closed;
	GPid pid;
	size_t i;
	int fd;

	if (!set_up() || !start_daemon("impatient", &pid))
		goto out;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fd = connect_daemon();
		for (byte = cases[i].bytes; *byte != '\0'; byte++)
			TEST_CHECK(write(fd, byte, 1) == 1, "write");
		answer = testbed_read_to_end(fd, &closed);
		TEST_CHECK(closed &&
			(cases[i].answer[0] == '\0'
				? answer[0] == '\0'
				: g_str_has_prefix(answer, cases[i].answer)),
		    "%s: closed %d: %s", cases[i].name, closed, answer);
		g_free(answer);
		close(fd);
	}
	kill(pid, SIGTERM);
	TEST_CHECK(exits_cleanly(pid), "ends");
out:
	tear_down();
}

static const struct test_case tests[] = {
	{ "command line", test_command_line },
	{ "signals", test_signals },
	{ "slow callers", test_slow_callers },
};

TEST_MAIN("loomd", tests)
