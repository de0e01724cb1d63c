/*
 * Signs and verifies documents.
 *
 * The payload is carried as base64 of its bytes, not as nested JSON.  A
 * signature over parsed JSON needs a canonical form, and two implementations
 * that disagree on that form would disagree on which document is in force.
 */

#include <sodium.h>
#include <string.h>

#include "loom/fields.h"
#include "loom/sign.h"

#define BASE64 sodium_base64_VARIANT_ORIGINAL

/* The length of 64 bytes in base64. */
#define SIGNATURE_TEXT_BYTES 88

struct envelope {
	char signer[2 * crypto_sign_PUBLICKEYBYTES + 1];
	char signature[SIGNATURE_TEXT_BYTES + 1];
	char *payload; /* owned */
};

static const struct loom_field_codes codes = {
	.unknown = LOOM_ENVELOPE_MALFORMED,
	.type = LOOM_ENVELOPE_MALFORMED,
	.range = LOOM_ENVELOPE_MALFORMED,
	.missing = LOOM_ENVELOPE_MALFORMED,
};

static const struct loom_field envelope_fields[] = {
	{ .name = "signer",
	    .type = LOOM_FIELD_TEXT,
	    .required = true,
	    .offset = offsetof(struct envelope, signer),
	    .size = sizeof(((struct envelope *)NULL)->signer) },
	{ .name = "signature",
	    .type = LOOM_FIELD_TEXT,
	    .required = true,
	    .offset = offsetof(struct envelope, signature),
	    .size = sizeof(((struct envelope *)NULL)->signature) },
	{ .name = "payload",
	    .type = LOOM_FIELD_STRING,
	    .required = true,
	    .offset = offsetof(struct envelope, payload) },
	{ .name = NULL },
};

static bool
read_fields(
    struct json_object *object, struct envelope *envelope, GError **error)
{
	struct loom_field_source source = { .file = "envelope",
		.codes = &codes };
	struct loom_problem *problems = NULL;
	bool ok;

	ok = loom_fields_read(
	    &source, object, envelope_fields, envelope, &problems);
	if (!ok)
		loom_set_error(error, LOOM_ENVELOPE_MALFORMED, "%s: %s",
		    problems->where, problems->message);
	loom_problems_free(problems);
	return ok;
}

static bool
read_envelope(
    const char *text, size_t len, struct envelope *envelope, GError **error)
{
	struct json_object *object;
	const char *message;
	unsigned line;
	bool ok;

	if (len > LOOM_ENVELOPE_BYTES_MAX) {
		loom_set_error(error, LOOM_ENVELOPE_TOO_LARGE,
		    "%zu bytes, at most %d are allowed", len,
		    LOOM_ENVELOPE_BYTES_MAX);
		return false;
	}
	object = loom_json_parse(text, len, &line, &message);
	if (object == NULL)
		return loom_set_error(error, LOOM_ENVELOPE_MALFORMED,
		    "line %u: %s", line, message);
	ok = read_fields(object, envelope, error);
	json_object_put(object);
	return ok;
}

static bool
parse_trusted_signer(const struct envelope *envelope,
    const struct loom_public_key *trusted, size_t ntrusted,
    struct loom_public_key *signer, GError **error)
{
	size_t i;

	if (!loom_public_key_parse(envelope->signer, signer, NULL))
		return loom_set_error(error, LOOM_ENVELOPE_MALFORMED,
		    "the signer is not 64 hexadecimal digits");
	for (i = 0; i < ntrusted; i++) {
		if (memcmp(trusted[i].bytes, signer->bytes,
			sizeof(signer->bytes)) == 0)
			return true;
	}
	return loom_set_error(error, LOOM_SIGNER_UNKNOWN,
	    "signed by %s, which is not trusted here", envelope->signer);
}

static bool
verify_signature(const struct envelope *envelope,
    const struct loom_public_key *signer, const unsigned char *payload,
    size_t len, GError **error)
{
	unsigned char signature[crypto_sign_BYTES];
	size_t signature_len;

	if (sodium_base642bin(signature, sizeof(signature), envelope->signature,
		strlen(envelope->signature), NULL, &signature_len, NULL,
		BASE64) != 0 ||
	    signature_len != sizeof(signature))
		return loom_set_error(error, LOOM_ENVELOPE_MALFORMED,
		    "the signature is not 64 bytes in base64");
	if (crypto_sign_verify_detached(
		signature, payload, len, signer->bytes) != 0)
		return loom_set_error(error, LOOM_MANIFEST_SIGNATURE,
		    "the signature of %s does not match the payload",
		    envelope->signer);
	return true;
}

static unsigned char *
decode_payload(const struct envelope *envelope, size_t *len, GError **error)
{
	size_t text_len = strlen(envelope->payload);
	size_t capacity = text_len / 4 * 3 + 1;
	unsigned char *payload = g_malloc(capacity + 1);

	if (sodium_base642bin(payload, capacity, envelope->payload, text_len,
		NULL, len, NULL, BASE64) != 0) {
		loom_set_error(error, LOOM_ENVELOPE_MALFORMED,
		    "the payload is not base64");
		g_free(payload);
		return NULL;
	}
	payload[*len] = '\0';
	return payload;
}

bool
loom_envelope_verify(const char *text, size_t text_len,
    const struct loom_public_key *trusted, size_t ntrusted, char **payload,
    size_t *len, uint8_t digest[LOOM_DIGEST_SIZE], GError **error)
{
	struct envelope envelope = { .payload = NULL };
	struct loom_public_key signer;
	unsigned char *bytes = NULL;
	bool ok;

	ok = read_envelope(text, text_len, &envelope, error) &&
	    parse_trusted_signer(&envelope, trusted, ntrusted, &signer, error);
	if (ok && envelope.payload != NULL)
		bytes = decode_payload(&envelope, len, error);
	ok = bytes != NULL &&
	    verify_signature(&envelope, &signer, bytes, *len, error);
	loom_fields_free(envelope_fields, &envelope);
	if (!ok) {
		g_free(bytes);
		return false;
	}
	crypto_hash_sha256(digest, bytes, *len);
	*payload = (char *)bytes;
	return true;
}

static char *
to_base64(const unsigned char *bytes, size_t len)
{
	size_t capacity = sodium_base64_encoded_len(len, BASE64);
	char *text = g_malloc(capacity);

	sodium_bin2base64(text, capacity, bytes, len, BASE64);
	return text;
}

static char *
to_hex(const uint8_t *bytes, size_t len)
{
	size_t capacity = 2 * len + 1;
	char *text = g_malloc(capacity);

	sodium_bin2hex(text, capacity, bytes, len);
	return text;
}

char *
loom_envelope_sign(const struct loom_secret_key *secret, const char *payload,
    size_t len, GError **error)
{
	const unsigned char *bytes = (const unsigned char *)payload;
	unsigned char signature[crypto_sign_BYTES];
	struct loom_public_key public_key;
	char *signer_text, *signature_text, *payload_text, *text;

	if (len > LOOM_DOCUMENT_BYTES_MAX) {
		loom_set_error(error, LOOM_ENVELOPE_TOO_LARGE,
		    "%zu bytes, at most %d can be signed", len,
		    LOOM_DOCUMENT_BYTES_MAX);
		return NULL;
	}
	crypto_sign_detached(signature, NULL, bytes, len, secret->bytes);
	crypto_sign_ed25519_sk_to_pk(public_key.bytes, secret->bytes);
	signer_text = to_hex(public_key.bytes, sizeof(public_key.bytes));
	signature_text = to_base64(signature, sizeof(signature));
	payload_text = to_base64(bytes, len);
	text = g_strdup_printf("{\n  \"signer\": \"%s\",\n"
			       "  \"signature\": \"%s\",\n"
			       "  \"payload\": \"%s\"\n}\n",
	    signer_text, signature_text, payload_text);
	g_free(signer_text);
	g_free(signature_text);
	g_free(payload_text);
	return text;
}
