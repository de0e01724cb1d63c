/*
 * The ring of two-bit states.  A number that left the window is expired: it
 * may have run, so it is never run again.
 */

#include <glib.h>

#include "decide/ticket_window.h"

static unsigned
shift_of(uint64_t n)
{
	return (unsigned)(n % 4) * 2;
}

static size_t
byte_of(uint64_t n)
{
	return n % TICKET_WINDOW / 4;
}

static void
put(struct ticket_window *window, uint64_t n, enum ticket_state state)
{
	uint8_t *byte = &window->bits[byte_of(n)];

	*byte &= (uint8_t) ~(3U << shift_of(n));
	*byte |= (uint8_t)((unsigned)state << shift_of(n));
}

uint64_t
ticket_window_issue(struct ticket_window *window, uint32_t count)
{
	uint64_t first = window->next;
	uint32_t i;

	for (i = 0; i < count; i++)
		put(window, first + i, TICKET_STATE_UNUSED);
	window->next += count;
	return first;
}

enum ticket_state
ticket_window_get(const struct ticket_window *window, uint64_t n)
{
	if (n >= window->next)
		return TICKET_STATE_NEVER;
	if (window->next - n > TICKET_WINDOW)
		return TICKET_STATE_EXPIRED;
	return (enum ticket_state)(window->bits[byte_of(n)] >> shift_of(n) & 3);
}

void
ticket_window_set(
    struct ticket_window *window, uint64_t n, enum ticket_state state)
{
	if (ticket_window_get(window, n) < TICKET_STATE_EXPIRED)
		put(window, n, state);
}

size_t
ticket_window_bytes(const struct ticket_window *window)
{
	return MIN((window->next + 3) / 4, TICKET_WINDOW_BYTES);
}
