#ifndef LOOM_HTTP_MHD_EXCHANGE_H
#define LOOM_HTTP_MHD_EXCHANGE_H

/*
 * The request and its response as libmicrohttpd handles them: shared by the
 * files with its callbacks, with the exchange, and with responses that are
 * written without it.
 */

#include <microhttpd.h>

#include "http/exchange.h"
#include "loom/buffer.h"
#include "loom/counter.h"
#include "loom/server.h"
#include "loom/timer.h"

/*
 * Memory of a connection, which limits the headers of a request; libmicrohttpd
 * refuses larger headers with status 431.  It clears this much memory after
 * each request, so a limit high enough to refuse large headers here, with an
 * error code of this project, would slow down every request.
 */
#define EXCHANGE_CONNECTION_MEMORY_BYTES (32 * 1024)

struct loom_server {
	struct MHD_Daemon *mhd; /* owned */
	struct tevent_context *ev; /* borrowed */
	struct tevent_fd *fde;
	struct loom_timers *timers;
	struct loom_timer *timer;
	struct tevent_immediate *run_immediate;
	struct loom_hangup *hangup; /* borrowed */
	const struct loom_exchange_ops *ops;
	void *arg;
	struct loom_counter *malformed_requests; /* borrowed */
	struct loom_counter *unused_connections; /* borrowed */
	/* direct responses: of EXCHANGE_LINGER_US, without progress */
	uint32_t stall_ticks_max;
	bool draining;
};

enum exchange_phase {
	PHASE_HEADERS, /* the handler has not yet asked for the body */
	PHASE_BODY, /* the body is being received, or is complete */
};

/* State of a connection, kept across its requests. */
struct caller_connection {
	bool received_request;
	bool hung_up; /* the caller closed the connection */
	struct loom_hangup_watch *watch; /* owned; NULL until it is needed */
	struct mhd_exchange *suspended_exchange; /* borrowed; or NULL */
};

struct mhd_exchange {
	struct loom_exchange base; /* the first member */
	struct loom_server *server; /* borrowed */
	struct MHD_Connection *connection; /* borrowed */
	const char *method; /* borrowed from connection */
	char *target; /* owned */
	enum exchange_phase phase;
	bool started; /* ops->request was called */
	bool suspended;
	bool body_wanted; /* the handler has asked for more of the body */
	bool body_blocked; /* the handler consumed less than it was given */
	bool body_ended;
	bool disconnected;
	/* the response */
	struct MHD_Response *response; /* owned until it is queued */
	bool responded;
	bool streaming;
	bool finished;
	bool aborted;
	uint16_t status;
	struct loom_buffer out; /* streamed, not yet read by libmicrohttpd, or
				 * not yet written by direct_response.c */
	/* a response that is written by direct_response.c */
	bool direct;
	bool is_http_1_0; /* the request */
	bool chunked;
	bool has_no_body;
	bool sending_ended; /* everything was written */
	struct tevent_fd *writable; /* owned; NULL unless waiting */
	uint64_t discarded_bytes; /* of the request's body, after that */
	struct loom_timer *linger_timer; /* ends reading the body */
	bool lingered; /* for a whole EXCHANGE_LINGER_US after the delivery */
	size_t undelivered_bytes; /* at the last tick of the timer */
	uint32_t stalled_ticks;
};

/* Runs libmicrohttpd in the next iteration of the event loop. */
void loom_server_schedule_run(struct loom_server *);

struct mhd_exchange *exchange_new(struct loom_server *, const char *target);

int exchange_fd(const struct mhd_exchange *);

/* The state of the connection; borrowed. */
struct caller_connection *exchange_connection(struct MHD_Connection *);

/* Suspends the connection until exchange_resume(), or until the caller
 * disconnects. */
void exchange_suspend(struct mhd_exchange *);
void exchange_resume(struct mhd_exchange *);

/* Resets the connection; libmicrohttpd then ends the exchange. */
void exchange_abort(struct mhd_exchange *);

/* direct_response.c */

/* Whether libmicrohttpd has room for a response head with these headers. */
bool exchange_head_fits(const struct mhd_exchange *,
    const struct loom_header *headers, size_t nheaders);

/* Writes the response's head; length is -1 if it is not known.  Like the next
 * two functions it aborts the exchange on failure. */
void exchange_direct_begin(struct mhd_exchange *, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length);
void exchange_direct_push(struct mhd_exchange *, const void *data, size_t len);
void exchange_direct_finish(struct mhd_exchange *);
/* Whether the caller's host has the whole response. */
bool exchange_direct_is_delivered(const struct mhd_exchange *);
/* Callback of linger_timer. */
void exchange_direct_linger(void *arg);
/* exchange_step() after the begin of a direct response. */
enum MHD_Result exchange_direct_step(struct mhd_exchange *, size_t *upload_len);

/* Handles one call of libmicrohttpd's access handler. */
enum MHD_Result exchange_step(struct mhd_exchange *, struct MHD_Connection *,
    const char *method, const char *upload, size_t *upload_len);

/* Ends and frees the exchange; libmicrohttpd no longer uses it. completed_ok:
 * the response was sent completely. */
void exchange_completed(struct mhd_exchange *, bool completed_ok);

#endif
