/*
 * An upstream's stand-in: a service with slots and a service time, which
 * calls deeper services through its local daemon, and a ledger of what it
 * ran.
 *
 * A test steers it by the request's own headers:
 *
 *   X-Test-Id: WORD            stands in the ledger
 *   X-Test-Service-Ms: N       how long the work takes
 *   X-Test-Status: N           the answer's status
 *   X-Test-Answer-Bytes: N     the length of the answer's body
 *   X-Test-Cut-After: N        break the connection after N bytes of it
 *   X-Test-Answer-Gap-Ms: N    a pause in the middle of the answer
 *   X-Test-Crash: SERVICE      exit before answering; with --held-socket
 *                              start anew at once, the listening socket kept
 *   X-Test-Fail: SERVICE       break the connection before answering
 *
 * and by "GET /test/set?service_ms=N&slots=N&load=N".  Each line of the
 * ledger is "EVENT ID METHOD PATH TEAM", EVENT one of start, done, cancelled,
 * crash, fail and shed.
 */

#include <argtable2.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loom/clock.h"

#define BLOCK (32 * 1024)
#define STACK_BYTES (256 * 1024)
#define TICKET_MAX 160
#define TICKET_NEEDED_STATUS 428
#define HELD_FD "UPSTREAM_HELD_FD"
#define BACKLOG 128

struct upstream {
	const char *service; /* borrowed */
	const char *daemon; /* borrowed: "ip:port" of the local daemon */
	const char **calls; /* borrowed: "METHOD PATH" each */
	int ncalls;
	int ledger_fd; /* -1 for none */
	int dump_fd; /* all bytes of requests; -1 for none */
	atomic_int slots;
	atomic_int service_ms;
	atomic_int load; /* what the report says; -1 for the truth */
	atomic_int inside;
	struct MHD_Daemon *mhd;
	char **argv; /* borrowed; its own, to start anew with */
	int held_fd; /* the listening socket that outlives it; -1 for none */
};

struct request {
	struct upstream *upstream; /* borrowed */
	GString *body; /* owned */
	uint64_t sent_bytes;
	uint64_t answer_bytes;
	uint64_t cut_after; /* 0 for never */
	uint64_t gap_ms; /* before the second half of the answer */
	int fd;
};

static const char *
header(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static long
header_number(struct MHD_Connection *connection, const char *name, long other)
{
	const char *text = header(connection, name);

	return text == NULL ? other : strtol(text, NULL, 10);
}

static void
write_all(int fd, const char *text, size_t len)
{
	ssize_t written;

	if (fd < 0)
		return;
	written = write(fd, text, len);
	(void)written;
}

static void
note(struct upstream *upstream, struct MHD_Connection *connection,
    const char *event, const char *method, const char *url)
{
	const char *id = header(connection, "X-Test-Id");
	const char *team = header(connection, "Loom-Team");
	char *line;

	line = g_strdup_printf("%s %s %s %s %s\n", event, id != NULL ? id : "-",
	    method, url, team != NULL ? team : "-");
	write_all(upstream->ledger_fd, line, strlen(line));
	g_free(line);
}

static enum MHD_Result
dump_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	GString *text = cls;

	(void)kind;
	g_string_append_printf(text, "%s: %s\n", name, value ? value : "");
	return MHD_YES;
}

static void
dump_headers(struct upstream *upstream, struct MHD_Connection *connection,
    const char *url)
{
	GString *text = g_string_new(url);

	g_string_append_c(text, '\n');
	MHD_get_connection_values(
	    connection, MHD_HEADER_KIND, dump_header, text);
	write_all(upstream->dump_fd, text->str, text->len);
	g_string_free(text, TRUE);
}

/* Work for a time; true when the caller went away meanwhile. */
static bool
work(int fd, long service_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };
	uint64_t until_us = loom_now_us() + (uint64_t)service_ms * 1000;
	uint64_t now_us;

	while ((now_us = loom_now_us()) < until_us) {
		struct timespec left = {
			.tv_sec = (time_t)((until_us - now_us) / 1000000),
			.tv_nsec = (long)((until_us - now_us) % 1000000 * 1000),
		};

		if (ppoll(&poll_fd, 1, &left, NULL) > 0)
			return true;
	}
	return false;
}

static size_t
drop_data(char *data, size_t size, size_t n, void *arg) /* NOLINT */
{
	(void)data;
	(void)arg;
	return size * n;
}

static struct curl_slist *
pass_header(struct curl_slist *list, struct MHD_Connection *connection,
    const char *name)
{
	const char *value = header(connection, name);
	char *line;

	if (value == NULL)
		return list;
	line = g_strconcat(name, ": ", value, NULL);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static size_t
take_ticket(char *line, size_t size, size_t n, void *arg)
{
	static const char name[] = "Loom-Ticket:";
	char *ticket = arg;
	size_t len = size * n;

	if (len > sizeof(name) && len < TICKET_MAX &&
	    g_ascii_strncasecmp(line, name, sizeof(name) - 1) == 0) {
		g_strlcpy(ticket, line, len);
		/* libcurl sends a line end in a header as it stands. */
		g_strchomp(ticket);
	}
	return len;
}

static long
send_deeper(const char *method, const char *url, struct curl_slist *list,
    long timeout_ms, char *ticket)
{
	CURL *easy = curl_easy_init();
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	if (strcmp(method, "POST") == 0)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, "{}");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_ticket);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, ticket);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_data);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return status;
}

/*
 * One call to a deeper service through the local daemon; its status.  A route
 * that needs a ticket answers with one, and the call is sent again with it.
 */
static long
call_deeper(struct upstream *upstream, struct MHD_Connection *connection,
    const char *call)
{
	static const char *const passed[] = { "Loom-Context", "traceparent",
		"X-Test-Id", "X-Test-Service-Ms", "X-Test-Crash",
		"X-Test-Fail" };
	char **words = g_strsplit(call, " ", 2);
	struct curl_slist *list = NULL;
	char ticket[TICKET_MAX] = "";
	long status, timeout_ms;
	char *url;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(passed); i++)
		list = pass_header(list, connection, passed[i]);
	url = g_strconcat("http://", upstream->daemon, words[1], NULL);
	timeout_ms = header_number(connection, "Loom-Deadline-Ms", 10000);
	status = send_deeper(words[0], url, list, timeout_ms, ticket);
	if (status == TICKET_NEEDED_STATUS && ticket[0] != '\0') {
		list = curl_slist_append(list, ticket);
		status = send_deeper(words[0], url, list, timeout_ms, ticket);
	}
	curl_slist_free_all(list);
	g_strfreev(words);
	g_free(url);
	return status;
}

/* The request's id goes back, so that a caller can tell whose answer it is. */
static void
echo_id(struct MHD_Connection *connection, struct MHD_Response *response)
{
	const char *id = header(connection, "X-Test-Id");

	if (id != NULL)
		MHD_add_response_header(response, "X-Test-Id", id);
}

static enum MHD_Result
answer(struct MHD_Connection *connection, unsigned status, const char *text)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
	    strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	echo_id(connection, response);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static ssize_t
fill(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct request *request = cls;
	uint64_t half = request->answer_bytes / 2;

	if (pos >= request->answer_bytes)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (request->cut_after > 0 && pos >= request->cut_after)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max = MIN(max, request->answer_bytes - pos);
	if (request->cut_after > 0)
		max = MIN(max, request->cut_after - pos);
	if (request->gap_ms > 0 && pos < half)
		max = MIN(max, half - pos);
	else if (request->gap_ms > 0 && pos == half)
		g_usleep(request->gap_ms * LOOM_US_PER_MS);
	memset(buf, 'x', max);
	return (ssize_t)max;
}

static enum MHD_Result
answer_bytes(
    struct MHD_Connection *connection, unsigned status, struct request *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_callback(
	    request->answer_bytes, BLOCK, fill, request, NULL);
	echo_id(connection, response);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void
set_number(
    struct MHD_Connection *connection, const char *name, atomic_int *value)
{
	const char *text = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);

	if (text != NULL)
		atomic_store(value, atoi(text));
}

static enum MHD_Result
answer_test(struct upstream *upstream, struct MHD_Connection *connection)
{
	set_number(connection, "service_ms", &upstream->service_ms);
	set_number(connection, "slots", &upstream->slots);
	set_number(connection, "load", &upstream->load);
	return answer(connection, 200, "set\n");
}

static enum MHD_Result
answer_load(struct upstream *upstream, struct MHD_Connection *connection)
{
	int lie = atomic_load(&upstream->load);
	char text[64];

	snprintf(text, sizeof(text), "{\"load\":%.2f}\n",
	    lie >= 0 ? lie / 100.0
		     : (double)atomic_load(&upstream->inside) /
		    atomic_load(&upstream->slots));
	return answer(connection, 200, text);
}

static bool
is_marked(const struct upstream *upstream, struct MHD_Connection *connection,
    const char *name)
{
	const char *service = header(connection, name);

	return service != NULL && strcmp(service, upstream->service) == 0;
}

/* As a supervisor does that holds the listening socket: no connection is
 * refused meanwhile, and all that stood are gone. */
static void
crash(const struct upstream *upstream)
{
	char fd[16];

	if (upstream->held_fd < 0)
		_exit(3);
	snprintf(fd, sizeof(fd), "%d", upstream->held_fd);
	setenv(HELD_FD, fd, 1);
	execv(upstream->argv[0], upstream->argv);
	_exit(127);
}

static enum MHD_Result
run(struct upstream *upstream, struct MHD_Connection *connection,
    const char *method, const char *url, struct request *request)
{
	GString *text = g_string_new(NULL);
	enum MHD_Result result;
	unsigned status;
	long deeper;
	int i;

	note(upstream, connection, "start", method, url);
	if (is_marked(upstream, connection, "X-Test-Crash")) {
		note(upstream, connection, "crash", method, url);
		crash(upstream);
	}
	if (work(request->fd,
		header_number(connection, "X-Test-Service-Ms",
		    atomic_load(&upstream->service_ms)))) {
		note(upstream, connection, "cancelled", method, url);
		g_string_free(text, TRUE);
		return MHD_NO;
	}
	status = (unsigned)header_number(connection, "X-Test-Status", 200);
	g_string_append_printf(text, "%s id=%s body=%zu", upstream->service,
	    header(connection, "X-Test-Id"), request->body->len);
	for (i = 0; i < upstream->ncalls; i++) {
		deeper = call_deeper(upstream, connection, upstream->calls[i]);
		g_string_append_printf(text, " %ld", deeper);
		if (deeper != 200)
			status = 502;
	}
	if (is_marked(upstream, connection, "X-Test-Fail")) {
		note(upstream, connection, "fail", method, url);
		g_string_free(text, TRUE);
		return MHD_NO;
	}
	note(upstream, connection, "done", method, url);
	g_string_append_c(text, '\n');
	request->answer_bytes =
	    (uint64_t)header_number(connection, "X-Test-Answer-Bytes", -1);
	request->cut_after =
	    (uint64_t)header_number(connection, "X-Test-Cut-After", 0);
	request->gap_ms =
	    (uint64_t)header_number(connection, "X-Test-Answer-Gap-Ms", 0);
	if (header(connection, "X-Test-Answer-Bytes") != NULL)
		result = answer_bytes(connection, status, request);
	else
		result = answer(connection, status, text->str);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result
serve(struct upstream *upstream, struct MHD_Connection *connection,
    const char *method, const char *url, struct request *request)
{
	enum MHD_Result result;

	if (strncmp(url, "/test/", 6) == 0)
		return answer_test(upstream, connection);
	if (strcmp(url, "/load") == 0)
		return answer_load(upstream, connection);
	dump_headers(upstream, connection, url);
	if (atomic_fetch_add(&upstream->inside, 1) >=
	    atomic_load(&upstream->slots)) {
		note(upstream, connection, "shed", method, url);
		result = answer(connection, 503, "no slot\n");
	} else {
		result = run(upstream, connection, method, url, request);
	}
	atomic_fetch_sub(&upstream->inside, 1);
	return result;
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_len, void **con_cls)
{
	struct upstream *upstream = cls;
	struct request *request = *con_cls;

	(void)version;
	if (request == NULL) {
		request = g_new0(struct request, 1);
		request->upstream = upstream;
		request->body = g_string_new(NULL);
		request->fd = MHD_get_connection_info(
		    connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				  ->connect_fd;
		*con_cls = request;
		return MHD_YES;
	}
	if (*upload_len > 0) {
		write_all(upstream->dump_fd, upload, *upload_len);
		/* Only the length is of interest: memory stays flat. */
		request->body->len += *upload_len;
		*upload_len = 0;
		return MHD_YES;
	}
	return serve(upstream, connection, method, url, request);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct request *request = *con_cls;

	(void)cls;
	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	g_string_free(request->body, TRUE);
	g_free(request);
	*con_cls = NULL;
}

static int
open_log(const char *file)
{
	if (file[0] == '\0')
		return -1;
	return open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

/* It outlives this program, or did so already. */
static int
hold_socket(const struct sockaddr_in *address)
{
	const char *held = getenv(HELD_FD);
	int on = 1, fd;

	if (held != NULL)
		return atoi(held);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, BACKLOG) != 0)
		exit(EXIT_FAILURE);
	return fd;
}

static void
serve_until_signal(struct upstream *upstream, const char *ip, int port)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = inet_addr(ip),
	};
	const union MHD_DaemonInfo *info;
	sigset_t set;
	int signal_number;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (upstream->argv != NULL)
		upstream->held_fd = hold_socket(&address);
	upstream->mhd = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
	    (uint16_t)port, NULL, NULL, on_access, upstream,
	    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, NULL, MHD_OPTION_THREAD_STACK_SIZE,
	    (size_t)STACK_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
	    upstream->held_fd < 0 ? MHD_OPTION_END : MHD_OPTION_LISTEN_SOCKET,
	    upstream->held_fd, MHD_OPTION_END);
	if (upstream->mhd == NULL) {
		fprintf(stderr, "cannot listen on port %d\n", port);
		exit(EXIT_FAILURE);
	}
	info = MHD_get_daemon_info(upstream->mhd, MHD_DAEMON_INFO_BIND_PORT);
	printf("listening on %u\n", (unsigned)info->port);
	fflush(stdout);
	sigwait(&set, &signal_number);
	MHD_stop_daemon(upstream->mhd);
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this");
	struct arg_str *service =
	    arg_str1(NULL, "service", "NAME", "the service it is");
	struct arg_str *ip = arg_str0(NULL, "ip", "IP", "default 127.0.0.1");
	struct arg_int *port = arg_int0(NULL, "port", "N", "0: a free one");
	struct arg_str *daemon =
	    arg_str0(NULL, "daemon", "IP:PORT", "its local daemon");
	struct arg_str *calls = arg_strn(
	    NULL, "call", "'METHOD PATH'", 0, 16, "a call to a deeper service");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "default 16");
	struct arg_int *ms = arg_int0(NULL, "service-ms", "N", "default 1");
	struct arg_str *ledger = arg_str0(NULL, "ledger", "FILE", "");
	struct arg_str *dump =
	    arg_str0(NULL, "dump", "FILE", "write all that requests bring");
	struct arg_lit *held = arg_lit0(
	    NULL, "held-socket", "a crash starts it anew, on its old socket");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, service, ip, port, daemon, calls, slots, ms,
		ledger, dump, held, end };
	struct upstream upstream = { .load = -1, .held_fd = -1 };

	slots->ival[0] = 16;
	ms->ival[0] = 1;
	port->ival[0] = 0;
	ip->sval[0] = "127.0.0.1";
	ledger->sval[0] = dump->sval[0] = daemon->sval[0] = "";
	if (arg_parse(argc, argv, table) != 0 || help->count > 0) {
		arg_print_errors(stderr, end, "upstream");
		arg_print_glossary(stderr, table, "  %-28s %s\n");
		return help->count > 0 ? EXIT_SUCCESS : 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	upstream.argv = held->count > 0 ? argv : NULL;
	upstream.service = service->sval[0];
	upstream.daemon = daemon->sval[0];
	upstream.calls = calls->sval;
	upstream.ncalls = calls->count;
	upstream.slots = slots->ival[0];
	upstream.service_ms = ms->ival[0];
	upstream.ledger_fd = open_log(ledger->sval[0]);
	upstream.dump_fd = open_log(dump->sval[0]);
	serve_until_signal(&upstream, ip->sval[0], port->ival[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return EXIT_SUCCESS;
}
