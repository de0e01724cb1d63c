/*
 * Runs libmicrohttpd inside a tevent event loop.
 *
 * Each worker thread runs its own libmicrohttpd daemon, which starts no
 * threads: the worker's tevent context polls the daemon's epoll descriptor.
 * All workers accept from duplicates of one listening socket.  With one
 * SO_REUSEPORT socket for each worker, the kernel would assign pending
 * connections to a particular worker, and a worker that stops would reset those
 * that it has not yet accepted.
 */

#include <fcntl.h>
#include <string.h>

#include "http/listen.h"
#include "http/mhd_exchange.h"
#include "loom/log.h"
#include "loom/timer.h"

/*
 * libmicrohttpd answers a request that it cannot parse without calling any
 * callback but the log function, which gets this format string.
 * tests/faults/test_malformed checks that the format is still the same.
 */
static const char parse_error_format[] = "Error processing request (";

/* Creates the exchange of a request; libmicrohttpd passes it to the other
 * callbacks as con_cls. */
static void *
on_target(void *cls, const char *target, struct MHD_Connection *connection)
{
	(void)connection;
	return exchange_new(cls, target);
}

/*
 * Allocates and frees the state of a connection.  When the received bytes are
 * not HTTP at all, libmicrohttpd closes the connection without a response or a
 * log line, so connections that end without a request are counted here.
 */
static void
on_connection(void *cls, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	const struct loom_server *server = cls;
	struct caller_connection *state = *socket_context;

	(void)connection;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*socket_context = talloc_zero(server, struct caller_connection);
		return;
	}
	if (!state->received_request)
		loom_counter_add(server->unused_connections, 1);
	talloc_free(state);
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_len, void **con_cls)
{
	struct mhd_exchange *x = *con_cls;

	(void)cls;
	(void)url;
	if (x == NULL)
		return MHD_NO;
	x->is_http_1_0 = strcmp(version, MHD_HTTP_VERSION_1_1) != 0;
	exchange_connection(connection)->received_request = true;
	return exchange_step(x, connection, method, upload, upload_len);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	(void)cls;
	(void)connection;
	if (*con_cls == NULL)
		return;
	exchange_completed(
	    *con_cls, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	*con_cls = NULL;
}

/* Counts the requests that libmicrohttpd cannot parse, and logs its messages at
 * debug level. */
static void
on_log(void *cls, const char *fmt, va_list ap)
{
	const struct loom_server *server = cls;
	char *message = g_strdup_vprintf(fmt, ap);

	if (g_str_has_prefix(fmt, parse_error_format))
		loom_counter_add(server->malformed_requests, 1);
	loom_log(LOOM_LOG_DEBUG, "http", LOOM_OK, "%s", g_strchomp(message));
	g_free(message);
}

static void run_mhd(struct loom_server *);

static void
on_timer(void *arg)
{
	struct loom_server *server = arg;

	server->timer = NULL;
	run_mhd(server);
}

static void
on_run_immediate(struct tevent_context *ev,
    struct tevent_immediate *run_immediate, void *arg)
{
	(void)ev;
	(void)run_immediate;
	run_mhd(arg);
}

static void
on_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	(void)ev;
	(void)fde;
	(void)flags;
	run_mhd(arg);
}

/* Lets libmicrohttpd process its events, and schedules the next run for when
 * its next timeout is due. */
static void
run_mhd(struct loom_server *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(server->mhd);
	TALLOC_FREE(server->timer);
	if (MHD_get_timeout(server->mhd, &wait_ms) != MHD_YES)
		return;
	if (wait_ms == 0) {
		loom_server_schedule_run(server);
		return;
	}
	server->timer = loom_timer_add(
	    server->timers, server, wait_ms * LOOM_US_PER_MS, on_timer, server);
}

void
loom_server_schedule_run(struct loom_server *server)
{
	tevent_schedule_immediate(
	    server->run_immediate, server->ev, on_run_immediate, server);
}

static int
server_destructor(struct loom_server *server)
{
	TALLOC_FREE(server->fde);
	if (server->mhd != NULL)
		MHD_stop_daemon(server->mhd);
	return 0;
}

static struct MHD_Daemon *
start_mhd(struct loom_server *server, const struct loom_server_options *o)
{
	unsigned flags =
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
	struct MHD_OptionItem tls[] = {
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, NULL },
		{ MHD_OPTION_HTTPS_MEM_CERT, 0, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	const bool has_tls = o->tls != NULL && o->tls->key != NULL;
	int fd = fcntl(o->listen_fd, F_DUPFD_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (o->suppress_date)
		flags |= MHD_USE_SUPPRESS_DATE_NO_CLOCK;
	if (has_tls) {
		flags |= MHD_USE_TLS;
		tls[0].ptr_value = o->tls->key;
		tls[1].ptr_value = o->tls->cert;
	}
	return MHD_start_daemon(flags, 0, NULL, NULL, on_access, server,
	    MHD_OPTION_EXTERNAL_LOGGER, on_log, server,
	    MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)o->connections_max, MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned)o->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)EXCHANGE_CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_URI_LOG_CALLBACK, on_target, server,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY,
	    has_tls ? tls : &tls[2], MHD_OPTION_END);
}

struct loom_server *
loom_server_new(TALLOC_CTX *mem, struct tevent_context *ev,
    struct loom_hangup *hangup, const struct loom_server_options *options,
    GError **error)
{
	const union MHD_DaemonInfo *info;
	struct loom_server *server = talloc_zero(mem, struct loom_server);

	if (server == NULL)
		goto error;
	server->ev = ev;
	server->timers = loom_timers_new(server, ev);
	server->hangup = hangup;
	server->ops = options->ops;
	server->arg = options->arg;
	server->stall_ticks_max = (uint32_t)(options->idle_timeout_s *
	    LOOM_US_PER_S / EXCHANGE_LINGER_US);
	server->malformed_requests =
	    loom_counter("loom_malformed_requests_total", NULL,
		"Requests that were answered without a code.");
	server->unused_connections =
	    loom_counter("loom_connections_unused_total", NULL,
		"Connections that ended without one whole request.");
	server->run_immediate = tevent_create_immediate(server);
	server->mhd = start_mhd(server, options);
	if (server->timers == NULL || server->run_immediate == NULL ||
	    server->mhd == NULL)
		goto error;
	talloc_set_destructor(server, server_destructor);
	info = MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	server->fde = tevent_add_fd(
	    ev, server, info->epoll_fd, TEVENT_FD_READ, on_ready, server);
	if (server->fde == NULL)
		goto error;
	return server;

error:
	loom_set_error(error, LOOM_START, "the HTTP server cannot start");
	talloc_free(server);
	return NULL;
}

void
loom_server_drain(struct loom_server *server)
{
	server->draining = true;
}

void
loom_server_drop_new_connections(struct loom_server *server)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_LISTEN_FD);
	listen_drop_new_connections(info->listen_fd);
}
