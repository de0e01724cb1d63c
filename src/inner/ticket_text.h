#ifndef LOOM_INNER_TICKET_TEXT_H
#define LOOM_INNER_TICKET_TEXT_H

/*
 * Creates and verifies tickets, which the executor does with its secret.
 * loom_ticket_parse() decodes a ticket without the secret.
 */

#include "inner/mac_text.h"
#include "loom/ticket.h"

/*
 * Sets ticket->mac and writes the text. Never returns false if size is
 * LOOM_TICKET_TEXT_MAX.
 */
bool ticket_text_write(struct loom_ticket *ticket,
    const uint8_t secret[LOOM_DERIVED_KEY_SIZE], char *out, size_t size);

/* Returns true if the MAC was made with this secret. Takes constant time. */
bool ticket_mac_is_valid(const struct loom_ticket *ticket,
    const uint8_t secret[LOOM_DERIVED_KEY_SIZE]);

#endif
