/*
 * A ring buffer of two-bit ticket states.  A number below the window is
 * expired: it may have run, so it is never run again.
 */

#include <glib.h>

#include "decide/ticket_window.h"

static unsigned
bit_shift(uint64_t number)
{
	return (unsigned)(number % 4) * 2;
}

static size_t
byte_index(uint64_t number)
{
	return number % TICKET_WINDOW_SIZE / 4;
}

static void
write_state(
    struct ticket_window *window, uint64_t number, enum ticket_state state)
{
	uint8_t *byte = &window->bits[byte_index(number)];

	*byte &= (uint8_t) ~(3U << bit_shift(number));
	*byte |= (uint8_t)((unsigned)state << bit_shift(number));
}

uint64_t
ticket_window_issue(struct ticket_window *window, uint32_t count)
{
	uint64_t first = window->next;
	uint32_t i;

	for (i = 0; i < count; i++)
		write_state(window, first + i, TICKET_STATE_UNUSED);
	window->next += count;
	return first;
}

enum ticket_state
ticket_window_get(const struct ticket_window *window, uint64_t number)
{
	if (number >= window->next)
		return TICKET_STATE_NOT_ISSUED;
	if (window->next - number > TICKET_WINDOW_SIZE)
		return TICKET_STATE_EXPIRED;
	return (enum ticket_state)(
	    window->bits[byte_index(number)] >> bit_shift(number) & 3);
}

void
ticket_window_set(
    struct ticket_window *window, uint64_t number, enum ticket_state state)
{
	if (ticket_window_get(window, number) < TICKET_STATE_EXPIRED)
		write_state(window, number, state);
}

size_t
ticket_window_bytes(const struct ticket_window *window)
{
	return MIN((window->next + 3) / 4, TICKET_WINDOW_BYTES);
}
