/*
 * Key derivation and authenticated texts. Both use BLAKE2b from libsodium.
 */

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "inner/mac_text.h"
#include "loom/context.h"

#define KDF_CONTEXT "loomkeys" /* must be crypto_kdf_CONTEXTBYTES long */

/* Base64 encodes each group of 3 bytes as 4 digits. */
#define GROUP_BYTES 3
#define GROUP_DIGITS 4
#define ENCODED_MAX(bytes) \
	(((bytes) + GROUP_BYTES - 1) / GROUP_BYTES * GROUP_DIGITS)

void
loom_derive_key(uint8_t key[LOOM_DERIVED_KEY_SIZE],
    const uint8_t secret[LOOM_DERIVED_KEY_SIZE], enum loom_key_purpose purpose)
{
	crypto_kdf_derive_from_key(
	    key, LOOM_DERIVED_KEY_SIZE, (uint64_t)purpose, KDF_CONTEXT, secret);
}

void
loom_mac(uint8_t *mac, size_t mac_len, const void *data, size_t len,
    const uint8_t key[LOOM_DERIVED_KEY_SIZE])
{
	crypto_generichash(mac, mac_len, data, len, key, LOOM_DERIVED_KEY_SIZE);
}

/*
 * Encodes base64url without padding (RFC 4648, section 5) with GLib. The data
 * is not secret, so the constant-time encoder of libsodium is not needed.
 */
static size_t
encode(const uint8_t *bytes, size_t len, char *out)
{
	gint state = 0, save = 0;
	size_t n, i;

	n = g_base64_encode_step(bytes, len, FALSE, out, &state, &save);
	n += g_base64_encode_close(FALSE, out + n, &state, &save);
	while (n > 0 && out[n - 1] == '=')
		n--;
	for (i = 0; i < n; i++) {
		if (out[i] == '+')
			out[i] = '-';
		else if (out[i] == '/')
			out[i] = '_';
	}
	out[n] = '\0';
	return n;
}

size_t
loom_encode_with_mac(uint8_t *bytes, size_t len, size_t mac_len,
    const uint8_t key[LOOM_DERIVED_KEY_SIZE], char *out, size_t size)
{
	/* encode() needs room for the padding, which it then removes */
	if (size <= ENCODED_MAX(len + mac_len))
		return 0;
	loom_mac(bytes + len, mac_len, bytes, len, key);
	return encode(bytes, len + mac_len, out);
}

/*
 * Converts to the standard base64 alphabet. Rejects other characters: GLib
 * skips them, so one ticket or context could be written as many different
 * texts.
 */
static bool
to_standard_alphabet(const char *text, size_t len, char *standard)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (g_ascii_isalnum(text[i]))
			standard[i] = text[i];
		else if (text[i] == '-')
			standard[i] = '+';
		else if (text[i] == '_')
			standard[i] = '/';
		else
			return false;
	}
	return true;
}

/*
 * Checks that the unused bits of the last digit are zero, which also ensures
 * that each value has only one text.
 */
static bool
is_canonical_text(const char *text, size_t len, const uint8_t *bytes, size_t n)
{
	char last_group[ENCODED_MAX(GROUP_BYTES) + 1];
	const size_t whole_groups_len = n / GROUP_BYTES * GROUP_BYTES;
	size_t digits;

	if (whole_groups_len == n)
		return len % GROUP_DIGITS == 0;
	digits =
	    encode(bytes + whole_groups_len, n - whole_groups_len, last_group);
	return len % GROUP_DIGITS == digits &&
	    memcmp(text + len - digits, last_group, digits) == 0;
}

bool
loom_decode_text(
    const char *text, size_t len, uint8_t *out, size_t size, size_t *out_len)
{
	char standard[LOOM_CONTEXT_TEXT_MAX + GROUP_DIGITS];
	size_t padded = len;
	gint state = 0;
	guint save = 0;

	if (len > LOOM_CONTEXT_TEXT_MAX || len % GROUP_DIGITS == 1 ||
	    len * GROUP_BYTES / GROUP_DIGITS > size)
		return false;
	if (!to_standard_alphabet(text, len, standard))
		return false;
	while (padded % GROUP_DIGITS != 0)
		standard[padded++] = '=';
	*out_len = g_base64_decode_step(standard, padded, out, &state, &save);
	return is_canonical_text(text, len, out, *out_len);
}

bool
loom_decode_with_mac(const char *text, size_t len, size_t mac_len,
    const uint8_t key[LOOM_DERIVED_KEY_SIZE], uint8_t *out, size_t size,
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
