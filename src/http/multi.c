/*
 * Drives libcurl's multi interface with tevent.
 *
 * libcurl reports the sockets to watch (socket_changed) and the next timeout
 * (timer_changed).  Each event results in one call of curl_multi_socket_action,
 * followed by a check for finished transfers.
 *
 * A done callback may add and remove handles.  Finished transfers are therefore
 * handled one at a time, and each is removed from the multi handle before its
 * callback is called.
 */

#include <glib.h>

#include "loom/clock.h"
#include "loom/multi.h"
#include "loom/timer.h"

struct loom_multi {
	CURLM *curl; /* owned */
	struct tevent_context *ev; /* borrowed */
	struct loom_timers *timers; /* owned */
	struct loom_timer *timer; /* owned, NULL when none is set */
	struct multi_transfer *transfers; /* owned list */
	struct multi_socket *sockets; /* owned list */
};

struct multi_transfer {
	struct multi_transfer *prev, *next;
	CURL *easy; /* borrowed */
	loom_multi_done done;
	void *arg; /* borrowed */
};

struct multi_socket {
	struct multi_socket *prev, *next;
	struct loom_multi *multi; /* borrowed */
	struct tevent_fd *fde; /* owned */
	curl_socket_t fd;
};

#define LIST_INSERT(head, item)                \
	do {                                   \
		(item)->prev = NULL;           \
		(item)->next = (head);         \
		if ((head) != NULL)            \
			(head)->prev = (item); \
		(head) = (item);               \
	} while (0)

#define LIST_REMOVE(head, item)                            \
	do {                                               \
		if ((item)->prev != NULL)                  \
			(item)->prev->next = (item)->next; \
		else                                       \
			(head) = (item)->next;             \
		if ((item)->next != NULL)                  \
			(item)->next->prev = (item)->prev; \
	} while (0)

static struct multi_transfer *
find_transfer(struct loom_multi *multi, const CURL *easy)
{
	struct multi_transfer *transfer;

	for (transfer = multi->transfers; transfer != NULL;
	     transfer = transfer->next) {
		if (transfer->easy == easy)
			return transfer;
	}
	return NULL;
}

static void
remove_transfer(struct loom_multi *multi, struct multi_transfer *transfer)
{
	curl_multi_remove_handle(multi->curl, transfer->easy);
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, NULL);
	LIST_REMOVE(multi->transfers, transfer);
	talloc_free(transfer);
}

static void
finish_transfers(struct loom_multi *multi)
{
	struct multi_transfer *transfer;
	loom_multi_done done;
	CURLMsg *message;
	CURLcode result;
	CURL *easy;
	void *arg;
	char *private;
	int remaining;

	while (
	    (message = curl_multi_info_read(multi->curl, &remaining)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		/* Removing the handle invalidates the message. */
		easy = message->easy_handle;
		result = message->data.result;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &private);
		transfer = (struct multi_transfer *)(void *)private;
		done = transfer->done;
		arg = transfer->arg;
		remove_transfer(multi, transfer);
		done(arg, easy, result);
	}
}

static void
socket_action(struct loom_multi *multi, curl_socket_t fd, int mask)
{
	int running;

	curl_multi_socket_action(multi->curl, fd, mask, &running);
	finish_transfers(multi);
}

static void
socket_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct multi_socket *sock = arg;
	int mask = 0;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	socket_action(sock->multi, sock->fd, mask);
}

static struct multi_socket *
add_socket(struct loom_multi *multi, curl_socket_t fd)
{
	struct multi_socket *sock = talloc_zero(multi, struct multi_socket);

	if (sock == NULL)
		return NULL;
	sock->multi = multi;
	sock->fd = fd;
	sock->fde = tevent_add_fd(multi->ev, sock, fd, 0, socket_ready, sock);
	if (sock->fde == NULL) {
		talloc_free(sock);
		return NULL;
	}
	LIST_INSERT(multi->sockets, sock);
	curl_multi_assign(multi->curl, fd, sock);
	return sock;
}

static void
remove_socket(struct loom_multi *multi, struct multi_socket *sock)
{
	if (sock == NULL)
		return;
	curl_multi_assign(multi->curl, sock->fd, NULL);
	LIST_REMOVE(multi->sockets, sock);
	talloc_free(sock);
}

static int
socket_changed(
    CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_data)
{
	struct loom_multi *multi = arg;
	struct multi_socket *sock = socket_data;
	uint16_t flags = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		remove_socket(multi, sock);
		return 0;
	}
	if (sock == NULL)
		sock = add_socket(multi, fd);
	if (sock == NULL)
		return -1;
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(sock->fde, flags);
	return 0;
}

static void
timer_fired(void *arg)
{
	struct loom_multi *multi = arg;

	multi->timer = NULL;
	socket_action(multi, CURL_SOCKET_TIMEOUT, 0);
}

static int
timer_changed(CURLM *curl, long timeout_ms, void *arg)
{
	struct loom_multi *multi = arg;

	(void)curl;
	TALLOC_FREE(multi->timer);
	if (timeout_ms < 0)
		return 0;
	/* Also if timeout_ms is 0: libcurl must not be called from within
	 * its own callback. */
	multi->timer = loom_timer_add(multi->timers, multi,
	    (uint64_t)timeout_ms * LOOM_US_PER_MS, timer_fired, multi);
	return multi->timer != NULL ? 0 : -1;
}

static int
multi_destructor(struct loom_multi *multi)
{
	while (multi->transfers != NULL)
		remove_transfer(multi, multi->transfers);
	curl_multi_cleanup(multi->curl);
	return 0;
}

struct loom_multi *
loom_multi_new(TALLOC_CTX *mem_ctx, struct tevent_context *ev)
{
	struct loom_multi *multi = talloc_zero(mem_ctx, struct loom_multi);

	if (multi == NULL)
		return NULL;
	multi->ev = ev;
	multi->timers = loom_timers_new(multi, ev);
	if (multi->timers != NULL)
		multi->curl = curl_multi_init();
	if (multi->curl == NULL) {
		talloc_free(multi);
		return NULL;
	}
	talloc_set_destructor(multi, multi_destructor);
	curl_multi_setopt(multi->curl, CURLMOPT_SOCKETFUNCTION, socket_changed);
	curl_multi_setopt(multi->curl, CURLMOPT_SOCKETDATA, multi);
	curl_multi_setopt(multi->curl, CURLMOPT_TIMERFUNCTION, timer_changed);
	curl_multi_setopt(multi->curl, CURLMOPT_TIMERDATA, multi);
	return multi;
}

bool
loom_multi_add(
    struct loom_multi *multi, CURL *easy, loom_multi_done done, void *arg)
{
	struct multi_transfer *transfer;

	transfer = talloc_zero(multi, struct multi_transfer);
	if (transfer == NULL)
		return false;
	transfer->easy = easy;
	transfer->done = done;
	transfer->arg = arg;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	if (curl_multi_add_handle(multi->curl, easy) != CURLM_OK) {
		talloc_free(transfer);
		return false;
	}
	LIST_INSERT(multi->transfers, transfer);
	return true;
}

void
loom_multi_remove(struct loom_multi *multi, CURL *easy)
{
	struct multi_transfer *transfer = find_transfer(multi, easy);

	if (transfer != NULL)
		remove_transfer(multi, transfer);
}

void
loom_multi_set_source(CURL *easy, const char *ip)
{
	char *name;

	if (ip == NULL)
		return;
	/* Without this prefix libcurl looks for a network interface first. */
	name = g_strconcat("host!", ip, NULL);
	curl_easy_setopt(easy, CURLOPT_INTERFACE, name);
	g_free(name);
}
