/*
 * Test server that plays an upstream.  It has a limited number of slots and a
 * configurable service time, makes nested calls to other services through its
 * local daemon, and writes the requests it received to a log file, the ledger.
 *
 * A test controls it by request headers:
 *
 *   X-Test-Id: WORD            identifies the request in the ledger
 *   X-Test-Service-Ms: N       how long the simulated work takes
 *   X-Test-Status: N           status of the response
 *   X-Test-Load: TEXT          load report of the response
 *   X-Test-Answer-Bytes: N     length of the response body
 *   X-Test-Cut-After: N        close the connection after N body bytes
 *   X-Test-Answer-Gap-Ms: N    pause in the middle of the response body
 *   X-Test-Crash: SERVICE      exit before the response if this is SERVICE;
 *                              with --held-socket restart at once and keep
 *                              the listening socket
 *   X-Test-Fail: SERVICE       close the connection instead of responding if
 *                              this is SERVICE
 *
 * and by "GET /test/set?service_ms=N&slots=N&load=N&cold_ms=N&pace=N&reject=N
 * &rate=N&leaving=N".  With a rate, each answer states it (Loom-Max-Rate), and
 * with leaving that the upstream leaves (Loom-Leaving).
 * "GET /health" reports the cold start that was set.  With a pace, answers
 * report the load (Loom-Load).  Of 100 requests, reject are rejected at random:
 * 503 with X-Test-Not-Run, as ones without a free slot are.  Each line of the
 * ledger is "EVENT ID METHOD PATH TEAM"; EVENT is start, done, cancelled,
 * crash, fail or shed.
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

#define BODY_BLOCK_BYTES (32 * 1024)
#define STACK_BYTES (256 * 1024)
#define TICKET_MAX 160
#define TICKET_NEEDED_STATUS 428
#define HELD_FD_VARIABLE "UPSTREAM_HELD_FD"
#define BACKLOG 128

struct upstream {
	const char *service; /* borrowed */
	const char *daemon; /* borrowed; "ip:port" of the local daemon */
	const char **calls; /* borrowed; nested calls, each "METHOD PATH" */
	int ncalls;
	int ledger_fd; /* -1 for none */
	int dump_fd; /* receives request headers and bodies; -1 for none */
	atomic_int slots;
	atomic_int service_ms;
	atomic_int load; /* reported load in percent; -1 for the real one */
	atomic_int pace; /* reported in answers; 0 for no report */
	atomic_int reject; /* of 100 requests */
	atomic_int rate; /* stated in answers, per second; 0 for none */
	atomic_int leaving; /* stated in answers; 0 for not */
	atomic_uint_fast64_t cold_until_us; /* reported by /health */
	atomic_int inside; /* requests in progress, shed ones included */
	struct MHD_Daemon *mhd;
	char **argv; /* borrowed; for the restart, NULL without --held-socket */
	int held_fd; /* listening socket kept across a restart; -1 for none */
};

struct request {
	struct upstream *upstream; /* borrowed */
	GString *body; /* owned */
	uint64_t sent_bytes;
	uint64_t body_bytes;
	uint64_t cut_after; /* 0 for never */
	uint64_t gap_ms; /* pause before the second half of the body */
	int fd;
};

static const char *
request_header(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static long
request_header_number(
    struct MHD_Connection *connection, const char *name, long fallback)
{
	const char *text = request_header(connection, name);

	return text == NULL ? fallback : strtol(text, NULL, 10);
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

/* Appends one line to the ledger. */
static void
log_event(struct upstream *upstream, struct MHD_Connection *connection,
    const char *event, const char *method, const char *url)
{
	const char *id = request_header(connection, "X-Test-Id");
	const char *team = request_header(connection, "Loom-Team");
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

/* Waits for service_ms; returns true if the caller disconnected first. */
static bool
simulate_work(int fd, long service_ms)
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
discard_data(char *data, size_t size, size_t n, void *arg) /* NOLINT */
{
	(void)data;
	(void)arg;
	return size * n;
}

static struct curl_slist *
forward_header(struct curl_slist *list, struct MHD_Connection *connection,
    const char *name)
{
	const char *value = request_header(connection, name);
	char *line;

	if (value == NULL)
		return list;
	line = g_strconcat(name, ": ", value, NULL);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static size_t
read_ticket_header(char *line, size_t size, size_t n, void *arg)
{
	static const char name[] = "Loom-Ticket:";
	char *ticket = arg;
	size_t len = size * n;

	if (len > sizeof(name) && len < TICKET_MAX &&
	    g_ascii_strncasecmp(line, name, sizeof(name) - 1) == 0) {
		g_strlcpy(ticket, line, len);
		/* libcurl would send a line end within a header unchanged. */
		g_strchomp(ticket);
	}
	return len;
}

static long
send_nested_call(const char *method, const char *url, struct curl_slist *list,
    long timeout_ms, char *ticket)
{
	CURL *easy = curl_easy_init();
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	if (strcmp(method, "POST") == 0)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, "{}");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_ticket_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, ticket);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_data);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return status;
}

/*
 * Makes one nested call through the local daemon and returns its status.  If
 * the route requires a ticket, the first response carries one, and the call is
 * sent again with it.
 */
static long
make_nested_call(struct upstream *upstream, struct MHD_Connection *connection,
    const char *call)
{
	static const char *const forwarded[] = { "Loom-Context", "traceparent",
		"X-Test-Id", "X-Test-Service-Ms", "X-Test-Crash",
		"X-Test-Fail" };
	char **words = g_strsplit(call, " ", 2);
	struct curl_slist *list = NULL;
	char ticket[TICKET_MAX] = "";
	long status, timeout_ms;
	char *url;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(forwarded); i++)
		list = forward_header(list, connection, forwarded[i]);
	url = g_strconcat("http://", upstream->daemon, words[1], NULL);
	timeout_ms =
	    request_header_number(connection, "Loom-Deadline-Ms", 10000);
	status = send_nested_call(words[0], url, list, timeout_ms, ticket);
	if (status == TICKET_NEEDED_STATUS && ticket[0] != '\0') {
		list = curl_slist_append(list, ticket);
		status =
		    send_nested_call(words[0], url, list, timeout_ms, ticket);
	}
	curl_slist_free_all(list);
	g_strfreev(words);
	g_free(url);
	return status;
}

/* Returns the request's ID, so that the caller can check that the response
 * belongs to its request, and the load report that it asks for. */
static void
echo_headers(struct MHD_Connection *connection, struct MHD_Response *response)
{
	const char *id = request_header(connection, "X-Test-Id");
	const char *load = request_header(connection, "X-Test-Load");

	if (id != NULL)
		MHD_add_response_header(response, "X-Test-Id", id);
	if (load != NULL)
		MHD_add_response_header(response, "Loom-Load", load);
}

static void
add_load_report(struct upstream *upstream, struct MHD_Response *response)
{
	int pace = atomic_load(&upstream->pace);
	char text[64];

	if (pace == 0)
		return;
	snprintf(text, sizeof(text), "%d,0,%d,%d",
	    atomic_load(&upstream->inside), atomic_load(&upstream->slots),
	    pace);
	MHD_add_response_header(response, "Loom-Load", text);
}

static void
add_statements(struct upstream *upstream, struct MHD_Response *response)
{
	int rate = atomic_load(&upstream->rate);
	char text[16];

	if (rate > 0) {
		snprintf(text, sizeof(text), "%d.0", rate);
		MHD_add_response_header(response, "Loom-Max-Rate", text);
	}
	if (atomic_load(&upstream->leaving) != 0)
		MHD_add_response_header(response, "Loom-Leaving", "1");
}

static enum MHD_Result
send_answer(struct upstream *upstream, struct MHD_Connection *connection,
    unsigned status, const char *text)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
	    strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	echo_headers(connection, response);
	add_load_report(upstream, response);
	add_statements(upstream, response);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

/* Produces a body of body_bytes, with the pause and the early end that the
 * request asked for. */
static ssize_t
generate_body(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct request *request = cls;
	uint64_t half = request->body_bytes / 2;

	if (pos >= request->body_bytes)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (request->cut_after > 0 && pos >= request->cut_after)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max = MIN(max, request->body_bytes - pos);
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
send_generated_body(
    struct MHD_Connection *connection, unsigned status, struct request *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_callback(request->body_bytes,
	    BODY_BLOCK_BYTES, generate_body, request, NULL);
	echo_headers(connection, response);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void
set_from_argument(
    struct MHD_Connection *connection, const char *name, atomic_int *value)
{
	const char *text = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);

	if (text != NULL)
		atomic_store(value, atoi(text));
}

static void
set_cold(struct upstream *upstream, struct MHD_Connection *connection)
{
	atomic_int cold_ms = 0;

	set_from_argument(connection, "cold_ms", &cold_ms);
	atomic_store(&upstream->cold_until_us,
	    loom_now_us() + (uint64_t)atomic_load(&cold_ms) * LOOM_US_PER_MS);
}

/* The remaining time of the cold start, if there is one. */
static enum MHD_Result
handle_health(struct upstream *upstream, struct MHD_Connection *connection)
{
	const uint64_t now_us = loom_now_us();
	const uint64_t until_us = atomic_load(&upstream->cold_until_us);
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    0, (void *)"", MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;
	char text[32];

	if (until_us > now_us) {
		snprintf(text, sizeof(text), "%u",
		    (unsigned)((until_us - now_us) / LOOM_US_PER_MS));
		MHD_add_response_header(response, "Loom-Cold-Ms", text);
	}
	result = MHD_queue_response(connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
handle_set(struct upstream *upstream, struct MHD_Connection *connection)
{
	set_from_argument(connection, "service_ms", &upstream->service_ms);
	set_from_argument(connection, "slots", &upstream->slots);
	set_from_argument(connection, "load", &upstream->load);
	set_from_argument(connection, "pace", &upstream->pace);
	set_from_argument(connection, "reject", &upstream->reject);
	set_from_argument(connection, "rate", &upstream->rate);
	set_from_argument(connection, "leaving", &upstream->leaving);
	if (MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "cold_ms") != NULL)
		set_cold(upstream, connection);
	return send_answer(upstream, connection, 200, "set\n");
}

static enum MHD_Result
handle_load(struct upstream *upstream, struct MHD_Connection *connection)
{
	int fake_load = atomic_load(&upstream->load);
	char text[64];

	snprintf(text, sizeof(text), "{\"load\":%.2f}\n",
	    fake_load >= 0 ? fake_load / 100.0
			   : (double)atomic_load(&upstream->inside) /
		    atomic_load(&upstream->slots));
	return send_answer(upstream, connection, 200, text);
}

static bool
header_names_service(const struct upstream *upstream,
    struct MHD_Connection *connection, const char *name)
{
	const char *service = request_header(connection, name);

	return service != NULL && strcmp(service, upstream->service) == 0;
}

/* With a held socket, restarts the way a supervisor that keeps the listening
 * socket open does: no new connection is refused meanwhile, but all existing
 * ones are closed.  Otherwise exits. */
static void
crash(const struct upstream *upstream)
{
	char fd[16];

	if (upstream->held_fd < 0)
		_exit(3);
	snprintf(fd, sizeof(fd), "%d", upstream->held_fd);
	setenv(HELD_FD_VARIABLE, fd, 1);
	execv(upstream->argv[0], upstream->argv);
	_exit(127);
}

/* Simulates the work of one request, makes the nested calls and responds. */
static enum MHD_Result
run_request(struct upstream *upstream, struct MHD_Connection *connection,
    const char *method, const char *url, struct request *request)
{
	GString *text = g_string_new(NULL);
	enum MHD_Result result;
	unsigned status;
	long nested_status;
	int i;

	log_event(upstream, connection, "start", method, url);
	if (header_names_service(upstream, connection, "X-Test-Crash")) {
		log_event(upstream, connection, "crash", method, url);
		crash(upstream);
	}
	if (simulate_work(request->fd,
		request_header_number(connection, "X-Test-Service-Ms",
		    atomic_load(&upstream->service_ms)))) {
		log_event(upstream, connection, "cancelled", method, url);
		g_string_free(text, TRUE);
		return MHD_NO;
	}
	status =
	    (unsigned)request_header_number(connection, "X-Test-Status", 200);
	g_string_append_printf(text, "%s id=%s body=%zu", upstream->service,
	    request_header(connection, "X-Test-Id"), request->body->len);
	for (i = 0; i < upstream->ncalls; i++) {
		nested_status =
		    make_nested_call(upstream, connection, upstream->calls[i]);
		g_string_append_printf(text, " %ld", nested_status);
		if (nested_status != 200)
			status = 502;
	}
	if (header_names_service(upstream, connection, "X-Test-Fail")) {
		log_event(upstream, connection, "fail", method, url);
		g_string_free(text, TRUE);
		return MHD_NO;
	}
	log_event(upstream, connection, "done", method, url);
	g_string_append_c(text, '\n');
	request->body_bytes = (uint64_t)request_header_number(
	    connection, "X-Test-Answer-Bytes", -1);
	request->cut_after =
	    (uint64_t)request_header_number(connection, "X-Test-Cut-After", 0);
	request->gap_ms = (uint64_t)request_header_number(
	    connection, "X-Test-Answer-Gap-Ms", 0);
	if (request_header(connection, "X-Test-Answer-Bytes") != NULL)
		result = send_generated_body(connection, status, request);
	else
		result = send_answer(upstream, connection, status, text->str);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result
reject_request(struct upstream *upstream, struct MHD_Connection *connection)
{
	static const char text[] = "no slot\n";
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    strlen(text), (void *)text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	echo_headers(connection, response);
	add_load_report(upstream, response);
	MHD_add_response_header(response, "X-Test-Not-Run", "1");
	result = MHD_queue_response(connection, 503, response);
	MHD_destroy_response(response);
	return result;
}

/* Handles a complete request; rejects it with 503 if no slot is free. */
static enum MHD_Result
dispatch(struct upstream *upstream, struct MHD_Connection *connection,
    const char *method, const char *url, struct request *request)
{
	enum MHD_Result result;

	if (strncmp(url, "/test/", 6) == 0)
		return handle_set(upstream, connection);
	if (strcmp(url, "/load") == 0)
		return handle_load(upstream, connection);
	if (strcmp(url, "/health") == 0)
		return handle_health(upstream, connection);
	dump_headers(upstream, connection, url);
	if (atomic_fetch_add(&upstream->inside, 1) >=
		atomic_load(&upstream->slots) ||
	    g_random_int_range(0, 100) < atomic_load(&upstream->reject)) {
		log_event(upstream, connection, "shed", method, url);
		result = reject_request(upstream, connection);
	} else {
		result =
		    run_request(upstream, connection, method, url, request);
	}
	atomic_fetch_sub(&upstream->inside, 1);
	return result;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
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
		/* Only the length is needed; storing the data would make memory
		 * grow with the body. */
		request->body->len += *upload_len;
		*upload_len = 0;
		return MHD_YES;
	}
	return dispatch(upstream, connection, method, url, request);
}

static void
on_request_completed(void *cls, struct MHD_Connection *connection,
    void **con_cls, enum MHD_RequestTerminationCode code)
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

/* Returns a listening socket that execv() leaves open: the one inherited from
 * before the restart, or else a new one. */
static int
listen_or_inherit(const struct sockaddr_in *address)
{
	const char *held = getenv(HELD_FD_VARIABLE);
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
		upstream->held_fd = listen_or_inherit(&address);
	upstream->mhd = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
	    (uint16_t)port, NULL, NULL, on_request, upstream,
	    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
	    on_request_completed, NULL, MHD_OPTION_THREAD_STACK_SIZE,
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
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_str *service =
	    arg_str1(NULL, "service", "NAME", "name of this service");
	struct arg_str *ip = arg_str0(NULL, "ip", "IP", "default 127.0.0.1");
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "default 0: any free port");
	struct arg_str *daemon =
	    arg_str0(NULL, "daemon", "IP:PORT", "address of the local daemon");
	struct arg_str *calls = arg_strn(NULL, "call", "'METHOD PATH'", 0, 16,
	    "nested call to another service");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "default 16");
	struct arg_int *ms = arg_int0(NULL, "service-ms", "N", "default 1");
	struct arg_str *ledger = arg_str0(NULL, "ledger", "FILE", "");
	struct arg_str *dump = arg_str0(
	    NULL, "dump", "FILE", "write headers and bodies of requests");
	struct arg_lit *held = arg_lit0(
	    NULL, "held-socket", "restart after a crash, on the same socket");
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
