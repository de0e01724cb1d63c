#ifndef LOOM_HTTP_EXCHANGE_H
#define LOOM_HTTP_EXCHANGE_H

/*
 * What a server has to do for the exchanges that it makes; the functions of
 * loom/server.h go to these.
 */

#include "loom/server.h"

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

#endif
