/*
 * Computes BLAKE2b digests of requests: the digest that a ticket is bound to,
 * and the fingerprint that identifies a request that crashes upstreams. Each
 * variable-length part is preceded by its length, so that different requests
 * never yield the same input to the hash.
 */

#include <sodium.h>
#include <string.h>

#include "loom/quarantine.h"
#include "loom/ticket.h"

static void
hash_with_length(crypto_generichash_state *state, const void *data, size_t len)
{
	uint64_t len64 = len;

	crypto_generichash_update(
	    state, (const uint8_t *)&len64, sizeof(len64));
	crypto_generichash_update(state, data, len);
}

static void
hash_u64(crypto_generichash_state *state, uint64_t value)
{
	crypto_generichash_update(
	    state, (const uint8_t *)&value, sizeof(value));
}

void
loom_request_digest(struct loom_request_digest *digest, const char *method,
    const char *path, uint64_t declared_bytes, const void *body, size_t len)
{
	crypto_generichash_state state;

	memset(digest, 0, sizeof(*digest));
	crypto_generichash_init(&state, NULL, 0, sizeof(digest->head));
	hash_with_length(&state, method, strlen(method));
	hash_with_length(&state, path, strlen(path));
	hash_u64(&state, declared_bytes);
	crypto_generichash_final(&state, digest->head, sizeof(digest->head));
	if (body == NULL)
		return;
	digest->has_body = true;
	crypto_generichash(
	    digest->body, sizeof(digest->body), body, len, NULL, 0);
}

void
loom_fingerprint(struct loom_fingerprint *fingerprint, uint64_t team_id,
    uint64_t route_id, const char *path, uint64_t declared_bytes,
    const void *prefix, size_t prefix_bytes)
{
	crypto_generichash_state state;

	if (prefix_bytes > LOOM_FINGERPRINT_PREFIX_BYTES)
		prefix_bytes = LOOM_FINGERPRINT_PREFIX_BYTES;
	crypto_generichash_init(&state, NULL, 0, sizeof(fingerprint->bytes));
	hash_u64(&state, team_id);
	hash_u64(&state, route_id);
	hash_with_length(&state, path, strlen(path));
	hash_u64(&state, declared_bytes);
	hash_with_length(&state, prefix, prefix_bytes);
	crypto_generichash_final(
	    &state, fingerprint->bytes, sizeof(fingerprint->bytes));
}
