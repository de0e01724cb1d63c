/*
 * A complete answer shared by several callers (struct loom_answer in
 * loom/ticket.h).
 */

#include <talloc.h>

#include "loom/ticket.h"

static void
answer_destroy(void *object)
{
	talloc_free(object);
}

struct loom_answer *
loom_answer_new(uint16_t status, const char *head, size_t head_bytes,
    const void *body, size_t body_bytes)
{
	struct loom_answer *answer = talloc_zero(NULL, struct loom_answer);

	loom_ref_init(&answer->ref, answer_destroy);
	answer->status = status;
	answer->head = talloc_strndup(answer, head, head_bytes);
	answer->head_bytes = head_bytes;
	answer->body = talloc_memdup(answer, body, body_bytes);
	answer->body_bytes = body_bytes;
	return answer;
}

struct loom_answer *
loom_answer_acquire(struct loom_answer *answer)
{
	loom_ref_acquire(&answer->ref);
	return answer;
}

void
loom_answer_release(struct loom_answer *answer)
{
	if (answer != NULL)
		loom_ref_release(&answer->ref, answer);
}
