#ifndef LOOM_HTTP_EXCHANGE_H
#define LOOM_HTTP_EXCHANGE_H

/*
 * The operations that each HTTP server implements for its exchanges.  The
 * loom_exchange functions of loom/server.h call them.
 */

#include "loom/clock.h"
#include "loom/server.h"

/* A streamed response buffers up to the high water mark; the handler is asked
 * for more below the low water mark. */
#define EXCHANGE_HIGH_WATER_BYTES (64 * 1024)
#define EXCHANGE_LOW_WATER_BYTES (EXCHANGE_HIGH_WATER_BYTES / 2)

/*
 * Limits for reading and discarding the rest of a request body after the
 * response.  Beyond either limit the connection is closed; otherwise an upload
 * could occupy a connection for a request that was already given up.
 */
#define EXCHANGE_DISCARD_MAX_BYTES (1024 * 1024)
#define EXCHANGE_LINGER_US (1 * LOOM_US_PER_S)

struct exchange_vtable {
	const char *(*method)(const struct loom_exchange *);
	const char *(*target)(const struct loom_exchange *);
	const char *(*header)(const struct loom_exchange *, const char *name);
	void (*headers)(const struct loom_exchange *,
	    void (*each)(void *arg, const char *name, const char *value),
	    void *arg);
	void (*resume_body)(struct loom_exchange *);
	void (*respond)(struct loom_exchange *, uint16_t status,
	    const struct loom_header *headers, size_t nheaders,
	    const void *body, size_t len);
	void (*stream)(struct loom_exchange *, uint16_t status,
	    const struct loom_header *headers, size_t nheaders, int64_t length);
	bool (*push)(struct loom_exchange *, const void *data, size_t len);
	void (*finish)(struct loom_exchange *);
	void (*abort)(struct loom_exchange *);
	bool (*responded)(const struct loom_exchange *);
};

/* The base of each server's exchange struct, as its first member. */
struct loom_exchange {
	const struct exchange_vtable *vtable;
	void *user; /* borrowed */
};

/*
 * Resets a connection immediately.  An HTTP/1.0 response without a length ends
 * where the connection is closed, so a client would take an ordinary close for
 * the end of a complete response.
 */
void exchange_reset(int fd);

#endif
