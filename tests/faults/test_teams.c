/*
 * Requests whose entry and executor have different versions of the manifest,
 * with real daemons.
 */

#include <stdio.h>
#include <string.h>

#include "support/test.h"
#include "support/testbed.h"

enum host {
	ENTRY,
	EXECUTOR,
	NESTED, /* called by the executor's upstream */
	HOSTS,
};

#define VERSIONS 2
#define BODY_BYTES 1000 /* of the request */
#define BODY_MAX 1000000

static const struct testbed_service services[] = {
	{ .name = "desk", .hosts = 1, .slots = 16 },
	{ .name = "orders",
	    .hosts = 1,
	    .calls = { "GET /stock" },
	    .slots = 16 },
	{ .name = "stock", .hosts = 1, .slots = 16 },
};

static struct testbed testbed;

struct version {
	const char *team; /* holds the key of the request */
	const char *other_team; /* or NULL */
	uint32_t body_max; /* bytes of a request */
};

static const struct row {
	const char *name;
	struct version versions[VERSIONS];
	enum host behind; /* has the first version, the others the second */
	const char *wanted; /* team that the upstreams are told */
} rows[] = {
	{ "team added",
	    { { "before", NULL, BODY_MAX }, { "after", "before", BODY_MAX } },
	    EXECUTOR, "after" },
	{ "team removed",
	    { { "before", "after", BODY_MAX }, { "after", NULL, BODY_MAX } },
	    ENTRY, "before" },
	{ "key moved",
	    { { "before", "after", BODY_MAX },
		{ "after", "before", BODY_MAX } },
	    EXECUTOR, "after" },
	{ "team renamed",
	    { { "before", NULL, BODY_MAX }, { "after", NULL, BODY_MAX } },
	    EXECUTOR, "after" },
	{ "longer bodies allowed",
	    { { "before", NULL, BODY_BYTES - 1 },
		{ "before", NULL, BODY_MAX } },
	    EXECUTOR, "before" },
	{ "shorter bodies allowed",
	    { { "before", NULL, BODY_MAX },
		{ "before", NULL, BODY_BYTES - 1 } },
	    ENTRY, "before" },
};

/* A team of the document; owned. */
static char *
team_entry(const char *team, const char *key)
{
	return g_strdup_printf("{\"name\":\"%s\",\"unlimited\":true,"
			       "\"rate_per_s\":1,\"burst\":1,"
			       "\"keys\":[{\"id\":\"a\",\"sha256\":\"%s\"}]}",
	    team, testbed_key_digest(key));
}

static char *
document(const struct version *held, unsigned version)
{
	char *team = team_entry(held->team, "k-team");
	char *other = held->other_team == NULL
	    ? NULL
	    : team_entry(held->other_team, "k-other");
	char *text = g_strdup_printf(
	    "{\"document\":\"test\",\"version\":%u,"
	    "\"fleet\":{\"slots\":%d,\"entry_decides\":true,"
	    "\"tickets\":false},"
	    "\"teams\":[%s%s%s],"
	    "\"services\":[{\"name\":\"desk\"},{\"name\":\"orders\"},"
	    "{\"name\":\"stock\"}],"
	    "\"routes\":[{\"name\":\"o\",\"service\":\"orders\","
	    "\"method\":\"PUT\",\"idempotent\":true,\"path\":\"/orders\","
	    "\"max_body_bytes\":%u,\"calls\":[\"s\"]},"
	    "{\"name\":\"s\",\"service\":\"stock\",\"method\":\"GET\","
	    "\"path\":\"/stock\"}]}",
	    version, HOSTS, team, other != NULL ? "," : "",
	    other != NULL ? other : "", held->body_max);

	g_free(other);
	g_free(team);
	return text;
}

/* Keeps all versions that are published from now on from one host. */
static void
hold_versions_from(enum host host)
{
	bool behind[HOSTS + 1] = { false }, others[HOSTS + 1] = { false };
	bool platform[HOSTS + 1] = { false };
	struct testbed_partition cut = { .to = behind, .mode = "hold" };
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		others[i] = i != host;
	behind[host] = true;
	platform[HOSTS] = true;
	cut.from = platform;
	testbed_partition(&testbed, &cut);
	cut.from = others;
	cut.control_only = true;
	testbed_partition(&testbed, &cut);
}

static bool
others_at_second(void *arg)
{
	const struct row *row = arg;
	char digest[32];
	uint32_t i;

	for (i = 0; i < HOSTS; i++) {
		if (i != row->behind &&
		    testbed_active_version(&testbed, i, digest) != 2)
			return false;
	}
	return true;
}

static void
check_team(const struct row *row, enum host host)
{
	char *team = testbed_last_header(&testbed, host, "Loom-Team");

	TEST_CHECK(g_strcmp0(team, row->wanted) == 0,
	    "%s: host %d ran it for %s, not for %s", row->name, (int)host,
	    team != NULL ? team : "nobody", row->wanted);
	g_free(team);
}

static void
run_row(const struct row *row)
{
	static const char *const headers[] = { "Loom-Key: k-team", NULL };
	char body[BODY_BYTES];
	struct testbed_reply reply;
	char digest[32];
	char *text;

	memset(body, '\n', sizeof(body));
	hold_versions_from(row->behind);
	text = document(&row->versions[1], 2);
	testbed_put_document(&testbed, "test", text);
	g_free(text);
	TEST_CHECK(testbed_wait_condition(others_at_second, (void *)row),
	    "%s: the others have the second version", row->name);
	CU_ASSERT_EQUAL(
	    testbed_active_version(&testbed, row->behind, digest), 1);
	testbed_call(&testbed, ENTRY, "PUT", "/orders", headers, body,
	    sizeof(body), &reply);
	TEST_CHECK(reply.curl_code == 0 && reply.status == 200,
	    "%s: status %ld code %d", row->name, reply.status, reply.code);
	testbed_reply_clear(&reply);
	check_team(row, EXECUTOR);
	check_team(row, NESTED);
}

/* An executor with another version runs a request for nobody, or refuses it. */
static void
test_versions_differ(void)
{
	char *text;
	size_t i;
	bool started;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		text = document(&rows[i].versions[0], 1);
		started = testbed_start_relayed(
		    &testbed, services, G_N_ELEMENTS(services), 1, text);
		g_free(text);
		if (TEST_CHECK(started, "%s: starts", rows[i].name))
			run_row(&rows[i]);
		testbed_stop(&testbed);
	}
}

static const struct test_case tests[] = {
	{ "versions-differ", test_versions_differ },
};

TEST_MAIN("teams", tests)
