#ifndef LOOM_INNER_MAC_TEXT_H
#define LOOM_INNER_MAC_TEXT_H

/*
 * Derives a key for each purpose, and authenticates texts: base64url of a
 * payload and its MAC.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOOM_DERIVED_KEY_SIZE 32

/* One number for each use of the fleet secret. Numbers must never be reused. */
enum loom_key_purpose {
	LOOM_PURPOSE_CONTEXT = 1,
	LOOM_PURPOSE_HANDOVER = 2,
};

void loom_derive_key(uint8_t key[LOOM_DERIVED_KEY_SIZE],
    const uint8_t secret[LOOM_DERIVED_KEY_SIZE], enum loom_key_purpose);

/* Computes a MAC of mac_len bytes (16 to 32) over data. */
void loom_mac(uint8_t *mac, size_t mac_len, const void *data, size_t len,
    const uint8_t key[LOOM_DERIVED_KEY_SIZE]);

/*
 * Appends the MAC to the len bytes at bytes, which must have room for it, and
 * writes the encoded text to out. Returns the length of the text, or 0 if size
 * is too small.
 */
size_t loom_encode_with_mac(uint8_t *bytes, size_t len, size_t mac_len,
    const uint8_t key[LOOM_DERIVED_KEY_SIZE], char *out, size_t size);

/*
 * Decodes a text to out without checking the MAC. Sets *out_len to the number
 * of bytes, including the MAC.
 */
bool loom_decode_text(
    const char *text, size_t len, uint8_t *out, size_t size, size_t *out_len);

/*
 * Decodes a text and checks the MAC in constant time. Sets *payload_len to the
 * number of bytes without the MAC.
 */
bool loom_decode_with_mac(const char *text, size_t len, size_t mac_len,
    const uint8_t key[LOOM_DERIVED_KEY_SIZE], uint8_t *out, size_t size,
    size_t *payload_len);

#endif
