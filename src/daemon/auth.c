/*
 * Keys and contexts.  A key is replaced by its digest as soon as it has been
 * read, and never appears in a context, log or message.
 */

#include <string.h>

#include "daemon/auth.h"
#include "daemon/headers.h"

enum loom_result
auth_key(struct call *call, const struct loom_key **key)
{
	const char *text = call->worker->daemon->dialect->key(call->exchange);
	uint8_t digest[LOOM_DIGEST_SIZE];
	enum loom_result result;
	const char *reason;

	if (text == NULL || *text == '\0')
		return LOOM_KEY_MISSING;
	if (loom_exchange_header_count(call->exchange, HEADER_KEY) > 1)
		return LOOM_HEADER_INVALID;
	result = headers_check(call->exchange, text, &reason);
	if (result != LOOM_OK)
		return result;
	loom_key_digest(text, strlen(text), digest);
	*key = loom_manifest_key(call->manifest, digest);
	if (*key == NULL)
		return LOOM_KEY_UNKNOWN;
	return (*key)->withdrawn ? LOOM_KEY_WITHDRAWN : LOOM_OK;
}

bool
auth_key_granted(
    const struct loom_manifest *manifest, const struct loom_context *context)
{
	uint32_t low = 0, high = manifest->nkeys, middle;
	const struct loom_key *key;
	int comparison;

	/* A call without a team is on a public route, as its entry has
	 * checked. */
	if (manifest->fleet.entry_decides || context->team_id == 0)
		return true;
	while (low < high) {
		middle = low + (high - low) / 2;
		key = &manifest->keys[middle];
		comparison = memcmp(
		    key->digest, context->key_prefix, LOOM_KEY_PREFIX_SIZE);
		if (comparison == 0)
			return !key->withdrawn &&
			    manifest->teams[key->team_index].id ==
			    context->team_id;
		if (comparison < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return false;
}

static enum loom_result
verify_context(struct call *call, const char *text, enum loom_context_kind kind)
{
	const struct loom_daemon *daemon = call->worker->daemon;
	const struct loom_context_expect expect = {
		.kind = kind,
		.host_id = daemon->self.host_id,
		.incarnation = daemon->self.incarnation,
	};
	enum loom_result result;
	const char *reason;

	if (loom_exchange_header_count(call->exchange, HEADER_CONTEXT) != 1)
		return LOOM_CONTEXT_INVALID;
	result = loom_context_verify(text, strlen(text), &daemon->context_key,
	    &expect, call->arrived_us, &call->context);
	if (result != LOOM_OK)
		return result;
	result = headers_check(call->exchange, NULL, &reason);
	if (result != LOOM_OK)
		return result;
	return auth_key_granted(call->manifest, &call->context)
	    ? LOOM_OK
	    : LOOM_KEY_WITHDRAWN;
}

/*
 * Sets the name of the call's team.  A team that is not in this daemon's
 * manifest has the name that came with the call, since an upstream must not run
 * the call for nobody.
 */
static enum loom_result
set_team_name(struct call *call, const char *name)
{
	const struct loom_team *team = call_team(call);

	if (call->context.team_id == 0)
		return LOOM_OK;
	if (team != NULL) {
		call->team_name = team->name;
		return LOOM_OK;
	}
	/* The name itself is not authenticated, its id in the context is. */
	if (name == NULL || loom_name_id(name) != call->context.team_id)
		return LOOM_CONTEXT_INVALID;
	call->team_name = talloc_strdup(call, name);
	return call->team_name == NULL ? LOOM_NO_MEMORY : LOOM_OK;
}

enum loom_result
auth_upstream_context(
    struct call *call, const char *text, struct loom_live_call *parent)
{
	enum loom_result result;

	result = verify_context(call, text, LOOM_CONTEXT_UPSTREAM);
	if (result != LOOM_OK)
		return result;
	result = loom_calls_find(call->worker->daemon->calls, &call->context,
	    call->arrived_us, parent);
	if (result != LOOM_OK)
		return result;
	return set_team_name(call, parent->team_name);
}

enum loom_result
auth_peer_context(struct call *call)
{
	const char *text = loom_exchange_header(call->exchange, HEADER_CONTEXT);
	enum loom_result result;

	if (text == NULL)
		return LOOM_CONTEXT_INVALID;
	result = verify_context(call, text, LOOM_CONTEXT_PEER);
	if (result != LOOM_OK)
		return result;
	result = set_team_name(
	    call, loom_exchange_header(call->exchange, HEADER_TEAM));
	if (result != LOOM_OK)
		return result;
	call->deadline_us = call->arrived_us + call->context.remaining_us;
	return loom_replay_set_admit(
	    call->worker->daemon->replay, &call->context, call->arrived_us);
}
