#ifndef LOOM_HTTP_EXCHANGE_H
#define LOOM_HTTP_EXCHANGE_H

/*
 * What a server has to do for the exchanges that it makes; the functions of
 * loom/server.h go to these.
 */

#include "loom/clock.h"
#include "loom/server.h"

/* A stream's bytes wait in memory up to here, and its owner goes on below the
 * half of it. */
#define EXCHANGE_HIGH_WATER (64 * 1024)
#define EXCHANGE_LOW_WATER (EXCHANGE_HIGH_WATER / 2)

/*
 * After the answer to a request that is still being sent so much of its body is
 * read and dropped, for so long; whoever sends more is cut off, or its upload
 * would hold a connection for a request that was given up.
 */
#define EXCHANGE_DISCARD_MAX (1024 * 1024)
#define EXCHANGE_LINGER_US (1 * LOOM_US_PER_S)

struct exchange_kind {
	const char *(*method)(const struct loom_exchange *);
	const char *(*target)(const struct loom_exchange *);
	const char *(*header)(const struct loom_exchange *, const char *name);
	void (*headers)(const struct loom_exchange *,
	    void (*each)(void *arg, const char *name, const char *value),
	    void *arg);
	void (*take_body)(struct loom_exchange *);
	void (*answer)(struct loom_exchange *, uint16_t status,
	    const struct loom_header *headers, size_t nheaders,
	    const void *body, size_t len);
	void (*stream)(struct loom_exchange *, uint16_t status,
	    const struct loom_header *headers, size_t nheaders, int64_t length);
	bool (*push)(struct loom_exchange *, const void *data, size_t len);
	void (*finish)(struct loom_exchange *);
	void (*abort)(struct loom_exchange *);
	bool (*answered)(const struct loom_exchange *);
};

/* The first member of a server's own. */
struct loom_exchange {
	const struct exchange_kind *kind;
	void *user; /* borrowed */
};

/*
 * Reset a connection now.  A reader of an answer whose end is the end of the
 * connection (HTTP/1.0) takes a plain close for that end.
 */
void exchange_reset(int fd);

#endif
