/*
 * Keys by purpose and texts with a MAC, by libsodium: BLAKE2b for both.
 */

#include <sodium.h>

#include "inner/seal.h"

#define DERIVE_CONTEXT "loomkeys" /* crypto_kdf_CONTEXTBYTES */
#define VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

void
loom_derive_key(uint8_t key[LOOM_SEAL_KEY_SIZE],
    const uint8_t secret[LOOM_SEAL_KEY_SIZE], enum loom_key_purpose purpose)
{
	crypto_kdf_derive_from_key(
	    key, LOOM_SEAL_KEY_SIZE, (uint64_t)purpose, DERIVE_CONTEXT, secret);
}

void
loom_mac(uint8_t *mac, size_t mac_len, const void *data, size_t len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE])
{
	crypto_generichash(mac, mac_len, data, len, key, LOOM_SEAL_KEY_SIZE);
}

size_t
loom_seal_text(uint8_t *bytes, size_t len, size_t mac_len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE], char *out, size_t size)
{
	size_t text_size = sodium_base64_encoded_len(len + mac_len, VARIANT);

	if (size < text_size)
		return 0;
	loom_mac(bytes + len, mac_len, bytes, len, key);
	sodium_bin2base64(out, size, bytes, len + mac_len, VARIANT);
	return text_size - 1;
}

bool
loom_decode_text(
    const char *text, size_t len, uint8_t *out, size_t size, size_t *out_len)
{
	const char *end;
	size_t i;

	/* libsodium reads bytes over 127 as if they were of the alphabet: one
	 * ticket or context would have many texts. */
	for (i = 0; i < len; i++) {
		if ((unsigned char)text[i] > 127)
			return false;
	}
	if (sodium_base642bin(
		out, size, text, len, NULL, out_len, &end, VARIANT) != 0)
		return false;
	return end == text + len;
}

bool
loom_open_text(const char *text, size_t len, size_t mac_len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE], uint8_t *out, size_t size,
    size_t *payload_len)
{
	uint8_t mac[crypto_generichash_BYTES_MAX];
	size_t out_len;

	if (!loom_decode_text(text, len, out, size, &out_len))
		return false;
	if (out_len < mac_len)
		return false;
	*payload_len = out_len - mac_len;
	loom_mac(mac, mac_len, out, *payload_len, key);
	return sodium_memcmp(mac, out + *payload_len, mac_len) == 0;
}
