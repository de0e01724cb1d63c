#ifndef LOOM_INNER_TICKET_TEXT_H
#define LOOM_INNER_TICKET_TEXT_H

/*
 * The text of a ticket.  loom_ticket_parse() reads it without the secret;
 * here is what the executor does with its secret.
 */

#include "inner/seal.h"
#include "loom/ticket.h"

/* Fill ticket->mac and write the text; false never happens for a size of
 * LOOM_TICKET_TEXT_MAX. */
bool ticket_text_write(struct loom_ticket *ticket,
    const uint8_t secret[LOOM_SEAL_KEY_SIZE], char *out, size_t size);

/* True when the MAC is by this secret; in constant time. */
bool ticket_mac_holds(
    const struct loom_ticket *ticket, const uint8_t secret[LOOM_SEAL_KEY_SIZE]);

#endif
