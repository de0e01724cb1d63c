/*
 * The public functions of an exchange, which dispatch to the server that
 * created it.
 */

#include <glib.h>
#include <sys/socket.h>

#include "http/exchange.h"

const char *
loom_exchange_method(const struct loom_exchange *x)
{
	return x->vtable->method(x);
}

const char *
loom_exchange_target(const struct loom_exchange *x)
{
	return x->vtable->target(x);
}

const char *
loom_exchange_header(const struct loom_exchange *x, const char *name)
{
	return x->vtable->header(x, name);
}

void
loom_exchange_headers(const struct loom_exchange *x,
    void (*each)(void *arg, const char *name, const char *value), void *arg)
{
	x->vtable->headers(x, each, arg);
}

struct header_count {
	const char *name;
	uint32_t n;
};

static void
count_header(void *arg, const char *name, const char *value)
{
	struct header_count *count = arg;

	(void)value;
	if (g_ascii_strcasecmp(name, count->name) == 0)
		count->n++;
}

/* Header names are compared without regard to case. */
uint32_t
loom_exchange_header_count(const struct loom_exchange *x, const char *name)
{
	struct header_count count = { .name = name };

	loom_exchange_headers(x, count_header, &count);
	return count.n;
}

int64_t
loom_exchange_body_length(const struct loom_exchange *x)
{
	const char *length;

	if (loom_exchange_header(x, "Transfer-Encoding") != NULL)
		return -1;
	length = loom_exchange_header(x, "Content-Length");
	return length == NULL ? 0 : g_ascii_strtoll(length, NULL, 10);
}

void
loom_exchange_set_user(struct loom_exchange *x, void *user)
{
	x->user = user;
}

void *
loom_exchange_user(const struct loom_exchange *x)
{
	return x->user;
}

void
loom_exchange_resume_body(struct loom_exchange *x)
{
	x->vtable->resume_body(x);
}

void
loom_exchange_respond(struct loom_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	x->vtable->respond(x, status, headers, nheaders, body, len);
}

void
loom_exchange_stream(struct loom_exchange *x, uint16_t status,
    const struct loom_header *headers, size_t nheaders, int64_t length)
{
	x->vtable->stream(x, status, headers, nheaders, length);
}

bool
loom_exchange_push(struct loom_exchange *x, const void *data, size_t len)
{
	return x->vtable->push(x, data, len);
}

void
loom_exchange_finish(struct loom_exchange *x)
{
	x->vtable->finish(x);
}

void
loom_exchange_abort(struct loom_exchange *x)
{
	x->vtable->abort(x);
}

bool
loom_exchange_responded(const struct loom_exchange *x)
{
	return x->vtable->responded(x);
}

/*
 * Connecting a TCP socket to AF_UNSPEC dissolves the association, which sends a
 * reset and nothing before it.  SO_LINGER would not work here: libmicrohttpd
 * shuts a connection down before it closes it, so a FIN would be sent before
 * the reset.
 */
void
exchange_reset(int fd)
{
	const struct sockaddr nobody = { .sa_family = AF_UNSPEC };

	(void)connect(fd, &nobody, sizeof(nobody));
}
