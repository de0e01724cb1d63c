/*
 * Keys by purpose and texts with a MAC, by libsodium: BLAKE2b for both.
 */

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "inner/seal.h"
#include "loom/context.h"

#define DERIVE_CONTEXT "loomkeys" /* crypto_kdf_CONTEXTBYTES */

/* Base64: so many bytes are so many digits. */
#define GROUP_BYTES 3
#define GROUP_DIGITS 4
#define ENCODED_MAX(bytes) \
	(((bytes) + GROUP_BYTES - 1) / GROUP_BYTES * GROUP_DIGITS)

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

/*
 * Base64 for URLs without padding (RFC 4648, 5), by GLib's tables: what is
 * sealed is no secret, so that it need not take constant time as libsodium's.
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
loom_seal_text(uint8_t *bytes, size_t len, size_t mac_len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE], char *out, size_t size)
{
	/* with the padding that is cut off again */
	if (size <= ENCODED_MAX(len + mac_len))
		return 0;
	loom_mac(bytes + len, mac_len, bytes, len, key);
	return encode(bytes, len + mac_len, out);
}

/* To the usual alphabet; GLib leaves out what does not belong to it, and a
 * ticket or context would have many texts. */
static bool
to_usual(const char *text, size_t len, char *usual)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (g_ascii_isalnum(text[i]))
			usual[i] = text[i];
		else if (text[i] == '-')
			usual[i] = '+';
		else if (text[i] == '_')
			usual[i] = '/';
		else
			return false;
	}
	return true;
}

/* The bits of the last digit that belong to no byte are zero, for the same
 * reason. */
static bool
has_one_text(const char *text, size_t len, const uint8_t *bytes, size_t n)
{
	char last[ENCODED_MAX(GROUP_BYTES) + 1];
	const size_t whole = n / GROUP_BYTES * GROUP_BYTES;
	size_t digits;

	if (whole == n)
		return len % GROUP_DIGITS == 0;
	digits = encode(bytes + whole, n - whole, last);
	return len % GROUP_DIGITS == digits &&
	    memcmp(text + len - digits, last, digits) == 0;
}

bool
loom_decode_text(
    const char *text, size_t len, uint8_t *out, size_t size, size_t *out_len)
{
	char usual[LOOM_CONTEXT_TEXT_MAX + GROUP_DIGITS];
	size_t padded = len;
	gint state = 0;
	guint save = 0;

	if (len > LOOM_CONTEXT_TEXT_MAX || len % GROUP_DIGITS == 1 ||
	    len * GROUP_BYTES / GROUP_DIGITS > size)
		return false;
	if (!to_usual(text, len, usual))
		return false;
	while (padded % GROUP_DIGITS != 0)
		usual[padded++] = '=';
	*out_len = g_base64_decode_step(usual, padded, out, &state, &save);
	return has_one_text(text, len, out, *out_len);
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
