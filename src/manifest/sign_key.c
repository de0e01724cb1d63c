/*
 * Generates signing keys, and reads and writes their files.  A key file is one
 * line of hexadecimal digits.
 */

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "loom/sign.h"

#define SECRET_MODE 0600
#define PUBLIC_MODE 0644

static bool
parse_hex(const char *hex, uint8_t *bytes, size_t len)
{
	size_t decoded_len;

	return sodium_hex2bin(bytes, len, hex, strlen(hex), NULL, &decoded_len,
		   NULL) == 0 &&
	    decoded_len == len;
}

static bool
load_hex_file(const char *file, uint8_t *bytes, size_t len, GError **error)
{
	GError *cause = NULL;
	gsize text_len;
	char *text;
	bool ok;

	if (!g_file_get_contents(file, &text, &text_len, &cause)) {
		loom_set_error(
		    error, LOOM_FILE_UNREADABLE, "%s", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = parse_hex(g_strstrip(text), bytes, len);
	if (!ok)
		loom_set_error(error, LOOM_SIGNING_KEY,
		    "%s: %zu hexadecimal digits expected", file, 2 * len);
	sodium_memzero(text, text_len);
	g_free(text);
	return ok;
}

void
loom_key_pair(
    struct loom_public_key *public_key, struct loom_secret_key *secret)
{
	g_assert(sodium_init() >= 0);
	crypto_sign_keypair(public_key->bytes, secret->bytes);
}

bool
loom_public_key_parse(
    const char *hex, struct loom_public_key *key, GError **error)
{
	if (parse_hex(hex, key->bytes, sizeof(key->bytes)))
		return true;
	return loom_set_error(error, LOOM_SIGNING_KEY,
	    "a public key has %zu hexadecimal digits", 2 * sizeof(key->bytes));
}

bool
loom_public_key_load(
    const char *file, struct loom_public_key *key, GError **error)
{
	return load_hex_file(file, key->bytes, sizeof(key->bytes), error);
}

/*
 * An Ed25519 secret key is a seed followed by the public key.  If the two don't
 * match, signatures made with the key cannot be verified, so such a file is
 * rejected.
 */
bool
loom_secret_key_load(
    const char *file, struct loom_secret_key *key, GError **error)
{
	unsigned char seed[crypto_sign_SEEDBYTES];
	struct loom_public_key public_key;
	struct loom_secret_key derived;
	bool ok;

	if (!load_hex_file(file, key->bytes, sizeof(key->bytes), error))
		return false;
	crypto_sign_ed25519_sk_to_seed(seed, key->bytes);
	crypto_sign_seed_keypair(public_key.bytes, derived.bytes, seed);
	ok = sodium_memcmp(derived.bytes, key->bytes, sizeof(key->bytes)) == 0;
	sodium_memzero(seed, sizeof(seed));
	sodium_memzero(&derived, sizeof(derived));
	if (!ok)
		return loom_set_error(error, LOOM_SIGNING_KEY,
		    "%s: the seed and the public key do not match", file);
	return true;
}

static bool
write_new_file(const char *file, int mode, const char *text, GError **error)
{
	size_t len = strlen(text);
	ssize_t written;
	int fd;

	fd = open(file, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
	if (fd < 0)
		return loom_set_error(error, LOOM_FILE_UNREADABLE, "%s: %s",
		    file, g_strerror(errno));
	written = write(fd, text, len);
	if (close(fd) != 0 || written != (ssize_t)len)
		return loom_set_error(
		    error, LOOM_FILE_UNREADABLE, "%s: cannot be written", file);
	return true;
}

static bool
write_hex_file(const char *prefix, const char *suffix, int mode,
    const uint8_t *bytes, size_t len, GError **error)
{
	char *file = g_strconcat(prefix, suffix, NULL);
	char *text = g_malloc(2 * len + 2);
	bool ok;

	sodium_bin2hex(text, 2 * len + 1, bytes, len);
	g_strlcat(text, "\n", 2 * len + 2);
	ok = write_new_file(file, mode, text, error);
	sodium_memzero(text, 2 * len + 2);
	g_free(text);
	g_free(file);
	return ok;
}

bool
loom_key_pair_write(const char *prefix,
    const struct loom_public_key *public_key,
    const struct loom_secret_key *secret, GError **error)
{
	return write_hex_file(prefix, ".secret", SECRET_MODE, secret->bytes,
		   sizeof(secret->bytes), error) &&
	    write_hex_file(prefix, ".public", PUBLIC_MODE, public_key->bytes,
		sizeof(public_key->bytes), error);
}
