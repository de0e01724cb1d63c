/*
 * Tests signed documents: opening an envelope returns the signed text byte for
 * byte, and any other envelope is rejected with the right result code.
 */

#include <glib/gstdio.h>
#include <string.h>
#include <sys/stat.h>

#include "loom/sign.h"
#include "manifest/manifest_support.h"

#define PAYLOAD "{ \"document\": \"a\" } // exactly\n\t\xc3\xa9"

static struct loom_public_key public_keys[2];
static struct loom_secret_key secret_keys[2];

static void
make_keys(void)
{
	loom_key_pair(&public_keys[0], &secret_keys[0]);
	loom_key_pair(&public_keys[1], &secret_keys[1]);
}

/*
 * Opens an envelope with the first ntrusted keys as the trusted ones.  Returns
 * LOOM_OK or the error's code.  On success, checks that the payload and its
 * digest are those of PAYLOAD.
 */
static enum loom_result
open_text(const char *text, size_t len, size_t ntrusted)
{
	uint8_t digest[LOOM_DIGEST_SIZE], wanted[LOOM_DIGEST_SIZE];
	GError *error = NULL;
	size_t payload_len;
	char *payload;

	if (loom_envelope_verify(text, len, public_keys, ntrusted, &payload,
		&payload_len, digest, &error)) {
		CU_ASSERT_EQUAL(payload_len, strlen(PAYLOAD));
		CU_ASSERT_STRING_EQUAL(payload, PAYLOAD);
		loom_key_digest(PAYLOAD, strlen(PAYLOAD), wanted);
		CU_ASSERT_EQUAL(memcmp(digest, wanted, sizeof(wanted)), 0);
		g_free(payload);
		return LOOM_OK;
	}
	return test_error_code_free(error);
}

static char *
seal(const struct loom_secret_key *secret)
{
	return loom_envelope_sign(secret, PAYLOAD, strlen(PAYLOAD), NULL);
}

static void
test_open(void)
{
	char *text;

	make_keys();
	text = seal(&secret_keys[1]);
	CU_ASSERT_EQUAL(open_text(text, strlen(text), 2), LOOM_OK);
	CU_ASSERT_EQUAL(open_text(text, strlen(text), 1), LOOM_SIGNER_UNKNOWN);
	CU_ASSERT_EQUAL(open_text(text, strlen(text), 0), LOOM_SIGNER_UNKNOWN);
	g_free(text);
}

/* Returns the text with the value of a JSON member replaced. */
static char *
replace_value(const char *text, const char *member, const char *value)
{
	char *label = g_strdup_printf("\"%s\": \"", member);
	const char *start = strstr(text, label) + strlen(label);
	const char *end = strchr(start, '"');
	char *result =
	    g_strdup_printf("%.*s%s%s", (int)(start - text), text, value, end);

	g_free(label);
	return result;
}

/*
 * An attacker, or a transmission error, changes one member.  If the envelope
 * were accepted, rates and keys that no operator released would take effect.
 */
static void
test_altered(void)
{
	static const struct {
		const char *member, *value;
		enum loom_result code;
	} cases[] = {
		{ "payload", "e30=", LOOM_MANIFEST_SIGNATURE },
		{ "payload", "", LOOM_MANIFEST_SIGNATURE },
		{ "payload", "e30", LOOM_ENVELOPE_MALFORMED },
		{ "payload", "e30=\\n", LOOM_ENVELOPE_MALFORMED },
		{ "payload", "{}", LOOM_ENVELOPE_MALFORMED },
		{ "signature", "e30=", LOOM_ENVELOPE_MALFORMED },
		{ "signature", "", LOOM_ENVELOPE_MALFORMED },
		{ "signature",
		    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
		    "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAA==",
		    LOOM_MANIFEST_SIGNATURE },
		{ "signer", "00", LOOM_ENVELOPE_MALFORMED },
		{ "signer",
		    "0000000000000000000000000000000000000000000000000000000000"
		    "000000",
		    LOOM_SIGNER_UNKNOWN },
		{ "signer", "\\u0000", LOOM_ENVELOPE_MALFORMED },
	};
	char *text, *altered;
	size_t i;

	make_keys();
	text = seal(&secret_keys[0]);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		altered = replace_value(text, cases[i].member, cases[i].value);
		TEST_CHECK(
		    open_text(altered, strlen(altered), 2) == cases[i].code,
		    "%s %s", cases[i].member, cases[i].value);
		g_free(altered);
	}
	g_free(text);
}

/* The envelope names another trusted key than the one that signed it. */
static void
test_other_signer(void)
{
	char *original, *altered, hex[65];
	size_t i;

	make_keys();
	original = seal(&secret_keys[0]);
	for (i = 0; i < 32; i++)
		g_snprintf(
		    hex + 2 * i, 3, "%02x", (unsigned)public_keys[1].bytes[i]);
	altered = replace_value(original, "signer", hex);
	CU_ASSERT_EQUAL(
	    open_text(altered, strlen(altered), 2), LOOM_MANIFEST_SIGNATURE);
	g_free(altered);
	g_free(original);
}

static void
test_truncated_and_random(void)
{
	struct loom_random random = test_random_new(7);
	char *text, noise[256];
	size_t i, j, len;

	make_keys();
	text = seal(&secret_keys[0]);
	for (len = 0; len < strlen(text) - 2; len++)
		TEST_CHECK(open_text(text, len, 2) == LOOM_ENVELOPE_MALFORMED,
		    "%zu bytes", len);
	for (i = 0; i < 1000; i++) {
		len = loom_random_below(&random, sizeof(noise));
		for (j = 0; j < len; j++)
			noise[j] = (char)loom_random_below(&random, 256);
		TEST_CHECK(open_text(noise, len, 2) == LOOM_ENVELOPE_MALFORMED,
		    "noise %zu", i);
	}
	test_random_free(&random);
	g_free(text);
}

/* With any single bit flipped, the envelope is rejected or gives the same
 * payload.  The latter happens in white space and in the case of a hexadecimal
 * digit. */
static void
test_flipped_bits(void)
{
	char *text;
	size_t i;

	make_keys();
	text = seal(&secret_keys[0]);
	for (i = 0; i < 8 * strlen(text); i++) {
		text[i / 8] ^= (char)(1 << i % 8);
		open_text(text, strlen(text), 2);
		text[i / 8] ^= (char)(1 << i % 8);
	}
	CU_ASSERT_EQUAL(open_text(text, strlen(text), 2), LOOM_OK);
	g_free(text);
}

/* The envelope of the largest document fits in one value of the platform.
 * Larger documents are not signed, and larger envelopes are not parsed. */
static void
test_sizes(void)
{
	char *payload = g_strnfill(LOOM_DOCUMENT_BYTES_MAX + 1, 'x');
	GError *error = NULL;
	char *text;

	make_keys();
	CU_ASSERT_PTR_NULL(loom_envelope_sign(
	    &secret_keys[0], payload, LOOM_DOCUMENT_BYTES_MAX + 1, &error));
	CU_ASSERT_EQUAL(test_error_code_free(error), LOOM_ENVELOPE_TOO_LARGE);
	text = loom_envelope_sign(
	    &secret_keys[0], payload, LOOM_DOCUMENT_BYTES_MAX, NULL);
	CU_ASSERT(text != NULL && strlen(text) <= LOOM_ENVELOPE_BYTES_MAX);
	g_free(text);
	g_free(payload);
	text = g_strnfill(LOOM_ENVELOPE_BYTES_MAX + 1, ' ');
	CU_ASSERT_EQUAL(open_text(text, LOOM_ENVELOPE_BYTES_MAX + 1, 2),
	    LOOM_ENVELOPE_TOO_LARGE);
	g_free(text);
}

static void
check_bad_secret(const char *file, const char *text)
{
	struct loom_secret_key key;
	GError *error = NULL;

	g_file_set_contents(file, text, -1, NULL);
	loom_secret_key_load(file, &key, &error);
	TEST_CHECK(test_error_code_free(error) == LOOM_SIGNING_KEY, "%s", text);
}

static void
test_key_files(void)
{
	char *folder = g_dir_make_tmp("loom-sign-XXXXXX", NULL);
	char *prefix = g_build_filename(folder, "pipeline", NULL);
	char *secret_file = g_strconcat(prefix, ".secret", NULL);
	char *public_file = g_strconcat(prefix, ".public", NULL);
	struct loom_secret_key secret;
	struct loom_public_key public_key;
	GError *error = NULL;
	struct stat st;
	char *zeros;

	make_keys();
	CU_ASSERT(loom_key_pair_write(
	    prefix, &public_keys[0], &secret_keys[0], NULL));
	CU_ASSERT(loom_secret_key_load(secret_file, &secret, NULL));
	CU_ASSERT(loom_public_key_load(public_file, &public_key, NULL));
	CU_ASSERT_EQUAL(memcmp(&secret, &secret_keys[0], sizeof(secret)), 0);
	CU_ASSERT_EQUAL(
	    memcmp(&public_key, &public_keys[0], sizeof(public_key)), 0);
	CU_ASSERT_EQUAL(stat(secret_file, &st), 0);
	CU_ASSERT_EQUAL(st.st_mode & 0777, 0600);
	CU_ASSERT_FALSE(loom_key_pair_write(
	    prefix, &public_keys[1], &secret_keys[1], &error));
	CU_ASSERT_EQUAL(test_error_code_free(error), LOOM_FILE_UNREADABLE);
	check_bad_secret(secret_file, "");
	check_bad_secret(secret_file, "00ff");
	zeros = g_strnfill(128, '0');
	check_bad_secret(secret_file, zeros);
	g_free(zeros);
	g_remove(secret_file);
	g_remove(public_file);
	g_rmdir(folder);
	g_free(secret_file);
	g_free(public_file);
	g_free(prefix);
	g_free(folder);
}

static const struct test_case tests[] = {
	{ "open", test_open },
	{ "altered", test_altered },
	{ "other signer", test_other_signer },
	{ "truncated and random", test_truncated_and_random },
	{ "flipped bits", test_flipped_bits },
	{ "sizes", test_sizes },
	{ "key files", test_key_files },
};

TEST_MAIN("manifest sign", tests)
