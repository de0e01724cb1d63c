/*
 * Encodes and decodes tickets as text: msgpack scalars and a MAC, in base64url.
 * The MAC covers the scalars. Each scalar has only one valid encoding, so a
 * parsed ticket can be verified without its text.
 */

#include <sodium.h>
#include <string.h>

#include "inner/ticket_text.h"
#include "loom/codec.h"

#define TICKET_VERSION 1
#define TICKET_BYTES_MAX (6 * LOOM_PACKED_SCALAR_MAX + LOOM_TICKET_MAC_SIZE)

static size_t
pack_ticket(const struct loom_ticket *ticket, uint8_t *bytes, size_t size)
{
	struct loom_packer packer;

	loom_pack_init(&packer, bytes, size);
	loom_pack_u64(&packer, TICKET_VERSION);
	loom_pack_u64(&packer, ticket->host_id);
	loom_pack_u64(&packer, ticket->incarnation);
	loom_pack_u64(&packer, ticket->team_id);
	loom_pack_u64(&packer, ticket->route_id);
	loom_pack_u64(&packer, ticket->number);
	return packer.len;
}

static bool
unpack_ticket(const uint8_t *bytes, size_t len, struct loom_ticket *ticket)
{
	uint8_t repacked[TICKET_BYTES_MAX];
	struct loom_unpacker unpacker;

	loom_unpack_init(&unpacker, bytes, len);
	if (loom_unpack_u64(&unpacker, TICKET_VERSION) != TICKET_VERSION)
		return false;
	ticket->host_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	ticket->incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	ticket->team_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	ticket->route_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	ticket->number = loom_unpack_u64(&unpacker, UINT64_MAX);
	if (!loom_unpack_end(&unpacker))
		return false;
	/*
	 * Each ticket has only one valid text, so reject numbers whose encoding
	 * is longer than necessary.
	 */
	return pack_ticket(ticket, repacked, sizeof(repacked)) == len &&
	    memcmp(repacked, bytes, len) == 0;
}

enum loom_result
loom_ticket_parse(const char *text, size_t len, struct loom_ticket *ticket)
{
	uint8_t bytes[TICKET_BYTES_MAX];
	size_t bytes_len;

	memset(ticket, 0, sizeof(*ticket));
	if (!loom_decode_text(text, len, bytes, sizeof(bytes), &bytes_len))
		return LOOM_TICKET_INVALID;
	if (bytes_len < LOOM_TICKET_MAC_SIZE)
		return LOOM_TICKET_INVALID;
	bytes_len -= LOOM_TICKET_MAC_SIZE;
	if (!unpack_ticket(bytes, bytes_len, ticket)) {
		memset(ticket, 0, sizeof(*ticket));
		return LOOM_TICKET_INVALID;
	}
	memcpy(ticket->mac, bytes + bytes_len, LOOM_TICKET_MAC_SIZE);
	return LOOM_OK;
}

bool
ticket_text_write(struct loom_ticket *ticket,
    const uint8_t secret[LOOM_DERIVED_KEY_SIZE], char *out, size_t size)
{
	uint8_t bytes[TICKET_BYTES_MAX];
	size_t len =
	    pack_ticket(ticket, bytes, sizeof(bytes) - LOOM_TICKET_MAC_SIZE);

	if (loom_encode_with_mac(
		bytes, len, LOOM_TICKET_MAC_SIZE, secret, out, size) == 0)
		return false;
	memcpy(ticket->mac, bytes + len, LOOM_TICKET_MAC_SIZE);
	return true;
}

bool
ticket_mac_is_valid(const struct loom_ticket *ticket,
    const uint8_t secret[LOOM_DERIVED_KEY_SIZE])
{
	uint8_t bytes[TICKET_BYTES_MAX], mac[LOOM_TICKET_MAC_SIZE];
	size_t len = pack_ticket(ticket, bytes, sizeof(bytes));

	loom_mac(mac, sizeof(mac), bytes, len, secret);
	return sodium_memcmp(mac, ticket->mac, sizeof(mac)) == 0;
}
