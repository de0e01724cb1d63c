#ifndef LOOM_HTTP_MHD_EXCHANGE_H
#define LOOM_HTTP_MHD_EXCHANGE_H

/*
 * The request and its response as libmicrohttpd handles them: shared by the
 * files with its callbacks, with the exchange, and with responses that are sent
 * before the end of the request body.
 */

#include <microhttpd.h>

#include "http/exchange.h"
#include "loom/buffer.h"
#include "loom/counter.h"
#include "loom/server.h"
#include "loom/timer.h"

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
	bool responded_early; /* by exchange_send_early_response() */
	uint16_t status;
	uint64_t discarded_bytes;
	struct loom_timer *linger_timer; /* ends reading the body */
	struct loom_buffer out; /* streamed, not yet read by libmicrohttpd */
};

/* Runs libmicrohttpd in the next iteration of the event loop. */
void loom_server_schedule_run(struct loom_server *);

struct mhd_exchange *exchange_new(struct loom_server *, const char *target);

int exchange_fd(const struct mhd_exchange *);

/* The state of the connection; borrowed. */
struct caller_connection *exchange_connection(struct MHD_Connection *);

/*
 * Writes a complete response to a caller that is still sending its request, and
 * shuts down the sending side of the connection.  Returns false when the
 * response could not be written completely: the caller of this function must
 * then abort the exchange.
 */
bool exchange_send_early_response(struct mhd_exchange *, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len);

/* Handles one call of libmicrohttpd's access handler. */
enum MHD_Result exchange_step(struct mhd_exchange *, struct MHD_Connection *,
    const char *method, const char *upload, size_t *upload_len);

/* Ends and frees the exchange; libmicrohttpd no longer uses it. completed_ok:
 * the response was sent completely. */
void exchange_completed(struct mhd_exchange *, bool completed_ok);

#endif
