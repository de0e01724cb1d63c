/*
 * A list of tasks under a lock, and an eventfd that wakes the event loop.
 * tevent's threaded immediates would need an allocation owned by each posting
 * thread.  Here a task is one small array element, and the eventfd is written
 * only when the list was empty.
 */

#include <glib.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "loom/mailbox.h"

struct task {
	void (*work)(void *arg);
	void *arg; /* borrowed */
};

struct loom_mailbox {
	GMutex lock;
	GArray *tasks; /* owned: struct task; guarded by lock */
	GArray *spare; /* owned: the list run last, for reuse */
	int event_fd;
	struct tevent_fd *fde;
};

static GArray *
swap_tasks(struct loom_mailbox *mailbox)
{
	GArray *tasks;

	g_mutex_lock(&mailbox->lock);
	tasks = mailbox->tasks;
	mailbox->tasks = mailbox->spare;
	mailbox->spare = tasks;
	g_mutex_unlock(&mailbox->lock);
	return tasks;
}

static void
run_tasks(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct loom_mailbox *mailbox = arg;
	uint64_t count;
	GArray *tasks;
	guint i;

	(void)ev;
	(void)fde;
	(void)flags;
	/*
	 * Reset the eventfd before the tasks are taken, so that a task posted
	 * later signals it again.
	 */
	if (read(mailbox->event_fd, &count, sizeof(count)) < 0)
		return;
	tasks = swap_tasks(mailbox);
	for (i = 0; i < tasks->len; i++) {
		struct task task = g_array_index(tasks, struct task, i);

		task.work(task.arg);
	}
	g_array_set_size(tasks, 0);
}

static int
mailbox_destructor(struct loom_mailbox *mailbox)
{
	TALLOC_FREE(mailbox->fde);
	if (mailbox->event_fd >= 0)
		close(mailbox->event_fd);
	g_array_free(mailbox->tasks, TRUE);
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
	mailbox->tasks = g_array_new(FALSE, FALSE, sizeof(struct task));
	mailbox->spare = g_array_new(FALSE, FALSE, sizeof(struct task));
	mailbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	talloc_set_destructor(mailbox, mailbox_destructor);
	if (mailbox->event_fd < 0)
		goto error;
	mailbox->fde = tevent_add_fd(
	    ev, mailbox, mailbox->event_fd, TEVENT_FD_READ, run_tasks, mailbox);
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
	struct task task = { .work = work, .arg = arg };
	uint64_t one = 1;
	bool was_empty;
	ssize_t written = 0;

	g_mutex_lock(&mailbox->lock);
	was_empty = mailbox->tasks->len == 0;
	g_array_append_val(mailbox->tasks, task);
	g_mutex_unlock(&mailbox->lock);
	if (was_empty)
		written = write(mailbox->event_fd, &one, sizeof(one));
	(void)written; /* cannot fail: the eventfd's counter never overflows */
}
