#ifndef LOOM_INNER_SEAL_H
#define LOOM_INNER_SEAL_H

/*
 * Keys by purpose, and texts that carry a MAC: base64url of payload and MAC.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOOM_SEAL_KEY_SIZE 32

/* One number for each use of the fleet's secret; never given twice. */
enum loom_key_purpose {
	LOOM_PURPOSE_CONTEXT = 1,
	LOOM_PURPOSE_HANDOVER = 2,
};

void loom_derive_key(uint8_t key[LOOM_SEAL_KEY_SIZE],
    const uint8_t secret[LOOM_SEAL_KEY_SIZE], enum loom_key_purpose);

/* A MAC of mac_len bytes (16 to 32) over data. */
void loom_mac(uint8_t *mac, size_t mac_len, const void *data, size_t len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE]);

/*
 * Put the MAC behind the len bytes at bytes, which has room for it, and write
 * the text.  Returns the text's length, 0 when size is too small.
 */
size_t loom_seal_text(uint8_t *bytes, size_t len, size_t mac_len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE], char *out, size_t size);

/* Decode a text to out; *out_len receives the bytes, MAC included. */
bool loom_decode_text(
    const char *text, size_t len, uint8_t *out, size_t size, size_t *out_len);

/* Decode, and check the MAC in constant time; *payload_len excludes it. */
bool loom_open_text(const char *text, size_t len, size_t mac_len,
    const uint8_t key[LOOM_SEAL_KEY_SIZE], uint8_t *out, size_t size,
    size_t *payload_len);

#endif
