/*
 * Encodes contexts as text: msgpack scalars followed by a MAC, in base64url.
 *
 * The MAC is verified before anything is parsed. Its key is derived from the
 * fleet secret for this purpose alone, so that no other authenticated text of
 * the fleet is accepted as a context.
 */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "inner/mac_text.h"
#include "loom/codec.h"
#include "loom/context.h"

#define CONTEXT_VERSION 2

/*
 * Flags for optional fields. The context is sent with every call, and traffic
 * between data centres is expensive, so fields are omitted when they are unset
 * or equal to another field.
 */
#define FLAG_TEAM 1 /* has a team id and a key prefix */
#define FLAG_HOME 2 /* the home is not the issuer */
#define FLAG_WANTS_TICKET 4
#define FLAGS_ALL (FLAG_TEAM | FLAG_HOME | FLAG_WANTS_TICKET)
#define CONTEXT_BYTES_MAX 224
#define MAC_SIZE 16

void
loom_context_key_derive(struct loom_context_key *key,
    const uint8_t fleet_secret[LOOM_FLEET_SECRET_SIZE])
{
	loom_derive_key(key->bytes, fleet_secret, LOOM_PURPOSE_CONTEXT);
}

static bool
issuer_is_home(const struct loom_context *context)
{
	return context->home_host_id == context->issuer_host_id &&
	    context->home_incarnation == context->issuer_incarnation;
}

static uint64_t
context_flags(const struct loom_context *context)
{
	uint64_t flags = 0;

	if (context->team_id != 0)
		flags |= FLAG_TEAM;
	if (!issuer_is_home(context))
		flags |= FLAG_HOME;
	if (context->wants_ticket)
		flags |= FLAG_WANTS_TICKET;
	return flags;
}

static void
pack_context(struct loom_packer *packer, const struct loom_context *context)
{
	const uint64_t flags = context_flags(context);

	loom_pack_u64(packer, CONTEXT_VERSION);
	loom_pack_u64(packer, context->kind);
	loom_pack_u64(packer, flags);
	loom_pack_bin(packer, context->root.bytes, sizeof(context->root.bytes));
	loom_pack_bin(packer, context->call.bytes, sizeof(context->call.bytes));
	if ((flags & FLAG_TEAM) != 0) {
		loom_pack_u64(packer, context->team_id);
		loom_pack_bin(
		    packer, context->key_prefix, sizeof(context->key_prefix));
	}
	loom_pack_u64(packer, context->importance);
	loom_pack_u64(packer, MIN(context->remaining_us, LOOM_DEADLINE_MAX_US));
	loom_pack_u64(packer, context->hops);
	loom_pack_u64(packer, context->audience_host_id);
	loom_pack_u64(packer, context->audience_incarnation);
	loom_pack_u64(packer, context->audience_stamp_us);
	loom_pack_u64(packer, context->issuer_host_id);
	loom_pack_u64(packer, context->issuer_incarnation);
	if ((flags & FLAG_HOME) != 0) {
		loom_pack_u64(packer, context->home_host_id);
		loom_pack_u64(packer, context->home_incarnation);
	}
}

static void
unpack_home(struct loom_unpacker *unpacker, uint64_t flags,
    struct loom_context *context)
{
	if ((flags & FLAG_HOME) == 0) {
		context->home_host_id = context->issuer_host_id;
		context->home_incarnation = context->issuer_incarnation;
		return;
	}
	context->home_host_id = loom_unpack_u64(unpacker, UINT64_MAX);
	context->home_incarnation = loom_unpack_u64(unpacker, UINT64_MAX);
}

static bool
unpack_context(const uint8_t *data, size_t len, struct loom_context *context)
{
	struct loom_unpacker unpacker;
	uint64_t flags;

	loom_unpack_init(&unpacker, data, len);
	if (loom_unpack_u64(&unpacker, CONTEXT_VERSION) != CONTEXT_VERSION)
		return false;
	context->kind = (enum loom_context_kind)loom_unpack_u64(
	    &unpacker, LOOM_CONTEXT_UPSTREAM);
	flags = loom_unpack_u64(&unpacker, FLAGS_ALL);
	loom_unpack_bin_exact(
	    &unpacker, context->root.bytes, sizeof(context->root.bytes));
	loom_unpack_bin_exact(
	    &unpacker, context->call.bytes, sizeof(context->call.bytes));
	if ((flags & FLAG_TEAM) != 0) {
		context->team_id = loom_unpack_u64(&unpacker, UINT64_MAX);
		loom_unpack_bin_exact(&unpacker, context->key_prefix,
		    sizeof(context->key_prefix));
	}
	context->importance = (enum loom_importance)loom_unpack_u64(
	    &unpacker, LOOM_IMPORTANCE_COUNT - 1);
	context->remaining_us =
	    loom_unpack_u64(&unpacker, LOOM_DEADLINE_MAX_US);
	context->hops = (uint8_t)loom_unpack_u64(&unpacker, UINT8_MAX);
	context->audience_host_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	context->audience_incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	context->audience_stamp_us = loom_unpack_u64(&unpacker, UINT64_MAX);
	context->issuer_host_id = loom_unpack_u64(&unpacker, UINT64_MAX);
	context->issuer_incarnation = loom_unpack_u64(&unpacker, UINT64_MAX);
	unpack_home(&unpacker, flags, context);
	context->wants_ticket = (flags & FLAG_WANTS_TICKET) != 0;
	return loom_unpack_end(&unpacker);
}

size_t
loom_context_encode(const struct loom_context *context,
    const struct loom_context_key *key, char *out, size_t size)
{
	uint8_t bytes[CONTEXT_BYTES_MAX];
	struct loom_packer packer;

	loom_pack_init(&packer, bytes, sizeof(bytes) - MAC_SIZE);
	pack_context(&packer, context);
	if (!loom_pack_ok(&packer))
		return 0;
	return loom_encode_with_mac(
	    bytes, packer.len, MAC_SIZE, key->bytes, out, size);
}

static enum loom_result
check_audience(const struct loom_context *context,
    const struct loom_context_expect *expect)
{
	if (context->kind != expect->kind)
		return LOOM_CONTEXT_INVALID;
	if (context->audience_host_id != expect->host_id)
		return LOOM_CONTEXT_INVALID;
	if (context->audience_incarnation == expect->incarnation)
		return LOOM_OK;
	/*
	 * The issuer of a peer context can learn the current incarnation and
	 * retry. The call of an upstream context ended with the incarnation
	 * that executed it.
	 */
	return context->kind == LOOM_CONTEXT_PEER ? LOOM_CONTEXT_STALE
						  : LOOM_CONTEXT_INVALID;
}

/*
 * Rejects a peer context that is too old. Its deadline is relative, so without
 * this check a recorded context would be accepted again as soon as
 * loom_replay_set had dropped its call id. The stamp is a time of this host's
 * own clock, which the issuer estimates from an exchange with this very
 * incarnation; no other clocks are compared.
 */
static enum loom_result
check_age(const struct loom_context *context, uint64_t now_us)
{
	if (context->kind != LOOM_CONTEXT_PEER)
		return LOOM_OK;
	if (context->audience_stamp_us > now_us + LOOM_CLOCK_SKEW_US)
		return LOOM_CONTEXT_STALE;
	if (context->audience_stamp_us + context->remaining_us +
		LOOM_CLOCK_SKEW_US <
	    now_us)
		return LOOM_CONTEXT_STALE;
	return LOOM_OK;
}

static enum loom_result
check_limits(const struct loom_context *context)
{
	if (context->hops == 0)
		return LOOM_CONTEXT_INVALID;
	if (context->hops > LOOM_HOPS_MAX)
		return LOOM_CONTEXT_HOPS;
	if (context->remaining_us == 0)
		return LOOM_CONTEXT_EXPIRED;
	return LOOM_OK;
}

static enum loom_result
decode_and_check(const char *text, size_t len,
    const struct loom_context_key *key,
    const struct loom_context_expect *expect, uint64_t now_us,
    struct loom_context *context)
{
	uint8_t bytes[CONTEXT_BYTES_MAX];
	enum loom_result code;
	size_t payload_len;

	if (!loom_decode_with_mac(text, len, MAC_SIZE, key->bytes, bytes,
		sizeof(bytes), &payload_len))
		return LOOM_CONTEXT_INVALID;
	if (!unpack_context(bytes, payload_len, context))
		return LOOM_CONTEXT_INVALID;
	code = check_audience(context, expect);
	if (code == LOOM_OK)
		code = check_limits(context);
	if (code == LOOM_OK)
		code = check_age(context, now_us);
	return code;
}

enum loom_result
loom_context_verify(const char *text, size_t len,
    const struct loom_context_key *key,
    const struct loom_context_expect *expect, uint64_t now_us,
    struct loom_context *context)
{
	enum loom_result code;

	memset(context, 0, sizeof(*context));
	code = decode_and_check(text, len, key, expect, now_us, context);
	if (code != LOOM_OK)
		memset(context, 0, sizeof(*context));
	return code;
}

void
loom_clock_format(
    uint64_t incarnation, uint64_t now_us, char out[LOOM_CLOCK_TEXT_MAX])
{
	snprintf(out, LOOM_CLOCK_TEXT_MAX, "%016llx.%llu",
	    (unsigned long long)incarnation, (unsigned long long)now_us);
}

bool
loom_clock_update(
    struct loom_peer_clock *clock, const char *text, uint64_t now_us)
{
	unsigned long long incarnation, heard_us;
	int parsed_len = 0;

	if (strlen(text) >= LOOM_CLOCK_TEXT_MAX)
		return false;
	/* The field widths keep the numbers within 64 bits. */
	if (sscanf(text, "%16llx.%18llu%n", &incarnation, &heard_us,
		&parsed_len) != 2)
		return false;
	if (text[parsed_len] != '\0' || text[0] == '-' || text[0] == '+')
		return false;
	clock->incarnation = incarnation;
	clock->peer_now_us = heard_us;
	clock->received_at_us = now_us;
	return true;
}

void
loom_clock_stamp(const struct loom_peer_clock *clock, uint64_t now_us,
    struct loom_context *context)
{
	context->audience_incarnation = clock->incarnation;
	context->audience_stamp_us = clock->peer_now_us;
	if (now_us > clock->received_at_us)
		context->audience_stamp_us += now_us - clock->received_at_us;
}
