#ifndef LOOM_HTTP_MHD_EXCHANGE_H
#define LOOM_HTTP_MHD_EXCHANGE_H

/*
 * What server.c and mhd_exchange.c share: libmicrohttpd's callbacks are in the
 * first, the life of one request in the second.
 */

#include <microhttpd.h>

#include "http/exchange.h"
#include "loom/buffer.h"
#include "loom/counter.h"
#include "loom/server.h"

struct loom_server {
	struct MHD_Daemon *mhd; /* owned */
	struct tevent_context *ev; /* borrowed */
	struct tevent_fd *fde;
	struct tevent_timer *timer;
	struct tevent_immediate *kick;
	struct loom_hangup *hangup; /* borrowed */
	const struct loom_exchange_ops *ops;
	void *arg;
	struct loom_counter *malformed; /* borrowed */
	struct loom_counter *unused; /* borrowed */
	bool draining;
};

enum exchange_phase {
	PHASE_HEADERS, /* the owner has not yet asked for the body */
	PHASE_BODY, /* the body flows, or is complete */
};

/* A connection of a caller, over all of its requests. */
struct http_connection {
	bool understood; /* it has brought a request */
	bool gone; /* its caller closed it */
	struct loom_hangup_watch *watch; /* owned; NULL before the first wait */
	struct mhd_exchange *waiting; /* borrowed: suspended; NULL for none */
};

struct mhd_exchange {
	struct loom_exchange base; /* the first member */
	struct loom_server *server; /* borrowed */
	struct MHD_Connection *connection; /* borrowed */
	const char *method; /* borrowed from connection */
	char *target; /* owned */
	enum exchange_phase phase;
	bool started; /* the owner knows of it */
	bool suspended;
	bool body_wanted; /* its owner has asked for more */
	bool body_blocked; /* the owner took less than it was given */
	bool body_ended;
	bool gone;
	/* the answer */
	struct MHD_Response *response; /* owned until it is queued */
	bool answered;
	bool streaming;
	bool finished;
	bool aborted;
	bool early; /* answered in mid-body, past libmicrohttpd */
	uint16_t status;
	uint64_t discarded_bytes;
	struct tevent_timer *body_timer; /* an answered body must end by then */
	struct loom_buffer out; /* streamed bytes not yet written */
};

/* Run the event loop's next round of the server soon. */
void loom_server_kick(struct loom_server *);

struct mhd_exchange *exchange_new(struct loom_server *, const char *target);

int exchange_fd(const struct mhd_exchange *);

/* What is kept with the connection; borrowed. */
struct http_connection *exchange_connection(struct MHD_Connection *);

/* Write a whole answer to a caller that still sends, and end our side of the
 * connection.  False when it could not be written: abort. */
bool exchange_send_early(struct mhd_exchange *, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len);

/* One call of libmicrohttpd's access handler. */
enum MHD_Result exchange_step(struct mhd_exchange *, struct MHD_Connection *,
    const char *method, const char *upload, size_t *upload_len);

/* libmicrohttpd is done with the request: the last thing of an exchange. */
void exchange_completed(struct mhd_exchange *, bool whole);

#endif
