#ifndef LOOM_SIGN_H
#define LOOM_SIGN_H

/*
 * Signed documents.  The operators' pipeline signs a document once, with
 * Ed25519.  A daemon that has the public key can then accept a copy from a peer
 * as safely as from the platform.  The signed form, the envelope, is one JSON
 * object:
 *
 *   { "signer": "<64 hex digits: public key>",
 *     "signature": "<base64: Ed25519 over the payload>",
 *     "payload": "<base64: the document's text, byte for byte>" }
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loom/manifest.h"

/* The largest value that the platform stores. */
#define LOOM_ENVELOPE_BYTES_MAX 1000000
/* The largest document whose envelope fits in such a value.  Base64 leaves
 * three quarters of the size, from which the other members are subtracted. */
#define LOOM_DOCUMENT_BYTES_MAX 740000

struct loom_public_key {
	uint8_t bytes[32];
};

struct loom_secret_key {
	uint8_t bytes[64];
};

/*
 * Verifies an envelope against the trusted keys.  On success *payload is
 * the document's text (owned, g_free, with a zero byte after its end), *len
 * its length and digest its SHA-256.  Errors: LOOM_ENVELOPE_TOO_LARGE,
 * LOOM_ENVELOPE_MALFORMED, LOOM_SIGNER_UNKNOWN, LOOM_MANIFEST_SIGNATURE.
 */
bool loom_envelope_verify(const char *text, size_t text_len,
    const struct loom_public_key *trusted, size_t ntrusted, char **payload,
    size_t *len, uint8_t digest[LOOM_DIGEST_SIZE], GError **error);

/* Signs a document.  Returns the envelope (owned, g_free), or NULL with
 * LOOM_ENVELOPE_TOO_LARGE. */
char *loom_envelope_sign(const struct loom_secret_key *, const char *payload,
    size_t len, GError **error);

/* Generates a key pair from the kernel's random number generator. */
void loom_key_pair(struct loom_public_key *, struct loom_secret_key *);

/* Parses 64 hex digits.  Error: LOOM_SIGNING_KEY. */
bool loom_public_key_parse(
    const char *hex, struct loom_public_key *, GError **error);

/* Read a key from a file with its hex digits.  Errors: LOOM_FILE_UNREADABLE,
 * LOOM_SIGNING_KEY. */
bool loom_public_key_load(
    const char *file, struct loom_public_key *, GError **error);
bool loom_secret_key_load(
    const char *file, struct loom_secret_key *, GError **error);

/*
 * Writes PREFIX.secret (readable by its owner alone) and PREFIX.public.  The
 * call fails rather than overwrite an existing file, so that a second call
 * cannot destroy the key that signed the documents in force.
 */
bool loom_key_pair_write(const char *prefix, const struct loom_public_key *,
    const struct loom_secret_key *, GError **error);

#endif
