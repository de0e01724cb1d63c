/*
 * A list under a lock and an eventfd that tevent watches.  tevent's own
 * threaded immediates need one allocation owned by each posting thread; a
 * post here is one small block and one write for each empty list.
 */

#include <glib.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "loom/mailbox.h"

struct post {
	void (*work)(void *arg);
	void *arg; /* borrowed */
};

struct loom_mailbox {
	GMutex lock;
	GArray *posts; /* owned: struct post; under lock */
	GArray *spare; /* owned: the list that was run last */
	int event_fd;
	struct tevent_fd *fde;
};

static GArray *
take_posts(struct loom_mailbox *mailbox)
{
	GArray *posts;

	g_mutex_lock(&mailbox->lock);
	posts = mailbox->posts;
	mailbox->posts = mailbox->spare;
	mailbox->spare = posts;
	g_mutex_unlock(&mailbox->lock);
	return posts;
}

static void
run_posts(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_mailbox *mailbox = arg;
	uint64_t rung;
	GArray *posts;
	guint i;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(mailbox->event_fd, &rung, sizeof(rung)) < 0)
		return;
	posts = take_posts(mailbox);
	for (i = 0; i < posts->len; i++) {
		struct post post = g_array_index(posts, struct post, i);

		post.work(post.arg);
	}
	g_array_set_size(posts, 0);
}

static int
mailbox_destructor(struct loom_mailbox *mailbox)
{
	TALLOC_FREE(mailbox->fde);
	if (mailbox->event_fd >= 0)
		close(mailbox->event_fd);
	g_array_free(mailbox->posts, TRUE);
	g_array_free(mailbox->spare, TRUE);
	g_mutex_clear(&mailbox->lock);
	return 0;
}

struct loom_mailbox *
loom_mailbox_new(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct loom_mailbox *mailbox = talloc_zero(mem, struct loom_mailbox);

	if (mailbox == NULL)
		return NULL;
	g_mutex_init(&mailbox->lock);
	mailbox->posts = g_array_new(FALSE, FALSE, sizeof(struct post));
	mailbox->spare = g_array_new(FALSE, FALSE, sizeof(struct post));
	mailbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	talloc_set_destructor(mailbox, mailbox_destructor);
	if (mailbox->event_fd < 0)
		goto error;
	mailbox->fde = tevent_add_fd(
	    ev, mailbox, mailbox->event_fd, TEVENT_FD_READ, run_posts, mailbox);
	if (mailbox->fde == NULL)
		goto error;
	return mailbox;

error:
	talloc_free(mailbox);
	return NULL;
}

void
loom_mailbox_post(
    struct loom_mailbox *mailbox, void (*work)(void *arg), void *arg)
{
	struct post post = { .work = work, .arg = arg };
	uint64_t one = 1;
	bool first;
	ssize_t written = 0;

	g_mutex_lock(&mailbox->lock);
	first = mailbox->posts->len == 0;
	g_array_append_val(mailbox->posts, post);
	g_mutex_unlock(&mailbox->lock);
	if (first)
		written = write(mailbox->event_fd, &one, sizeof(one));
	(void)written; /* it cannot fail: the count never overflows */
}
