/*
 * libcurl multi on tevent.
 *
 * libcurl tells which sockets it waits on (socket_changed) and when it wants
 * to be called at the latest (timer_changed).  Every event leads to one call
 * of curl_multi_socket_action and then to a look at finished transfers.
 *
 * The sockets are in an epoll set of their own, which tevent watches as one
 * descriptor: tevent takes one event a system call, and a daemon that is short
 * of processor time saves most by taking all that are there.  A kept connection
 * stays in the set between two transfers.
 *
 * A done callback may add and remove handles; so finished transfers are taken
 * one at a time, and each is out of the multi before its callback runs.
 */

#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "loom/clock.h"
#include "loom/multi.h"

/* Taken at once; what is left is there at the next turn. */
#define EVENTS_MAX 64

struct loom_multi {
	CURLM *curl; /* owned */
	struct tevent_context *ev; /* borrowed */
	struct tevent_timer *timer; /* owned, NULL when none is set */
	struct multi_transfer *transfers; /* owned list */
	int epoll_fd; /* owned */
	struct tevent_fd *fde; /* owned: of epoll_fd, while transfers run */
	uint32_t *wanted; /* owned: by descriptor, the events that a transfer
			   * waits for; 0 for none */
	size_t nwanted;
};

struct multi_transfer {
	struct multi_transfer *prev, *next;
	CURL *easy; /* borrowed */
	loom_multi_done done;
	void *arg; /* borrowed */
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
forget_transfer(struct loom_multi *multi, struct multi_transfer *transfer)
{
	curl_multi_remove_handle(multi->curl, transfer->easy);
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, NULL);
	LIST_REMOVE(multi->transfers, transfer);
	talloc_free(transfer);
	/* a loop that waits for what is left to do must end without one */
	if (multi->transfers == NULL)
		TALLOC_FREE(multi->fde);
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
	int left;

	while ((message = curl_multi_info_read(multi->curl, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		/* The message dies with the removal of its handle. */
		easy = message->easy_handle;
		result = message->data.result;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &private);
		transfer = (struct multi_transfer *)(void *)private;
		done = transfer->done;
		arg = transfer->arg;
		forget_transfer(multi, transfer);
		done(arg, easy, result);
	}
}

static void
act(struct loom_multi *multi, curl_socket_t fd, int mask)
{
	int running;

	curl_multi_socket_action(multi->curl, fd, mask, &running);
	finish_transfers(multi);
}

static uint32_t *
wanted_of(struct loom_multi *multi, curl_socket_t fd)
{
	size_t n = (size_t)fd + 1;

	if (n > multi->nwanted) {
		n = MAX(n, 2 * multi->nwanted);
		multi->wanted = g_renew(uint32_t, multi->wanted, n);
		memset(multi->wanted + multi->nwanted, 0,
		    (n - multi->nwanted) * sizeof(*multi->wanted));
		multi->nwanted = n;
	}
	return &multi->wanted[fd];
}

/*
 * A socket that libcurl closes leaves the set by itself, and its number may be
 * another's since: whether it is there is for the set to say.  An error here
 * would end all transfers of the multi.
 */
static bool
watch_socket(struct loom_multi *multi, curl_socket_t fd, uint32_t events)
{
	struct epoll_event event = { .events = events, .data = { .fd = fd } };

	if (epoll_ctl(multi->epoll_fd, EPOLL_CTL_MOD, fd, &event) != 0 &&
	    epoll_ctl(multi->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
		return false;
	*wanted_of(multi, fd) = events;
	return true;
}

/*
 * A kept connection stays in the set between two transfers, which saves two
 * system calls a transfer.  An event of one tells that the other side has
 * closed it, which libcurl finds when it wants to use it; left in the set it
 * would be told again at each turn.
 */
static void
take_event(struct loom_multi *multi, const struct epoll_event *event)
{
	const curl_socket_t fd = event->data.fd;
	const uint32_t wanted = *wanted_of(multi, fd);
	uint32_t events = event->events;
	int mask = 0;

	if (wanted == 0) {
		epoll_ctl(multi->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return;
	}
	/* libcurl finds out what is wrong by reading or writing. */
	if (events & (EPOLLERR | EPOLLHUP))
		events |= wanted;
	if (events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	act(multi, fd, mask);
}

static void
sockets_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_multi *multi = arg;
	struct epoll_event events[EVENTS_MAX];
	int n, i;

	(void)ev;
	(void)fde;
	(void)flags;
	n = epoll_wait(multi->epoll_fd, events, EVENTS_MAX, 0);
	for (i = 0; i < n; i++)
		take_event(multi, &events[i]);
}

static int
socket_changed(CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
	struct loom_multi *multi = arg;
	uint32_t events = 0;

	(void)easy;
	(void)known;
	if (what == CURL_POLL_REMOVE) {
		*wanted_of(multi, fd) = 0;
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	return watch_socket(multi, fd, events) ? 0 : -1;
}

static void
timer_fired(struct tevent_context *ev, struct tevent_timer *timer,
    struct timeval now, void *arg)
{
	struct loom_multi *multi = arg;

	(void)ev;
	(void)timer;
	(void)now;
	multi->timer = NULL; /* tevent frees it after this call */
	act(multi, CURL_SOCKET_TIMEOUT, 0);
}

static int
timer_changed(CURLM *curl, long timeout_ms, void *arg)
{
	struct loom_multi *multi = arg;

	(void)curl;
	TALLOC_FREE(multi->timer);
	if (timeout_ms < 0)
		return 0;
	/* Also for 0: libcurl must not be called from inside itself. */
	multi->timer = tevent_add_timer(multi->ev, multi,
	    tevent_timeval_current_ofs((uint32_t)(timeout_ms / 1000),
		(uint32_t)(timeout_ms % 1000) * LOOM_US_PER_MS),
	    timer_fired, multi);
	return multi->timer != NULL ? 0 : -1;
}

static int
multi_destroy(struct loom_multi *multi)
{
	while (multi->transfers != NULL)
		forget_transfer(multi, multi->transfers);
	curl_multi_cleanup(multi->curl);
	TALLOC_FREE(multi->fde);
	close(multi->epoll_fd);
	g_free(multi->wanted);
	return 0;
}

struct loom_multi *
loom_multi_new(TALLOC_CTX *mem_ctx, struct tevent_context *ev)
{
	struct loom_multi *multi = talloc_zero(mem_ctx, struct loom_multi);

	if (multi == NULL)
		return NULL;
	multi->ev = ev;
	multi->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (multi->epoll_fd < 0) {
		talloc_free(multi);
		return NULL;
	}
	multi->curl = curl_multi_init();
	if (multi->curl == NULL) {
		close(multi->epoll_fd);
		talloc_free(multi);
		return NULL;
	}
	talloc_set_destructor(multi, multi_destroy);
	curl_multi_setopt(multi->curl, CURLMOPT_SOCKETFUNCTION, socket_changed);
	curl_multi_setopt(multi->curl, CURLMOPT_SOCKETDATA, multi);
	curl_multi_setopt(multi->curl, CURLMOPT_TIMERFUNCTION, timer_changed);
	curl_multi_setopt(multi->curl, CURLMOPT_TIMERDATA, multi);
	return multi;
}

static bool
watch_set(struct loom_multi *multi)
{
	if (multi->fde == NULL)
		multi->fde = tevent_add_fd(multi->ev, multi, multi->epoll_fd,
		    TEVENT_FD_READ, sockets_ready, multi);
	return multi->fde != NULL;
}

bool
loom_multi_add(
    struct loom_multi *multi, CURL *easy, loom_multi_done done, void *arg)
{
	struct multi_transfer *transfer;

	if (!watch_set(multi))
		return false;
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
		forget_transfer(multi, transfer);
}

void
loom_multi_set_source(CURL *easy, const char *ip)
{
	char *name;

	if (ip == NULL)
		return;
	/* Without the mark libcurl looks for an interface of that name. */
	name = g_strconcat("host!", ip, NULL);
	curl_easy_setopt(easy, CURLOPT_INTERFACE, name);
	g_free(name);
}
