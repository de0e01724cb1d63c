/*
 * Control threads with real sockets, signed documents and the platform's
 * stand-in: what operators write takes effect everywhere, and what is forged,
 * old or does not combine into a valid set takes effect nowhere.
 */

#include <string.h>

#include "loom/counter.h"
#include "loom/spread_config.h"
#include "support/standin.h"
#include "support/test.h"

#define DAEMONS 3
#define LIMIT_US (30 * G_USEC_PER_SEC)
#define POLL_US 2000
#define DIGEST                             \
	"00000000000000000000000000000000" \
	"00000000000000000000000000000001"

struct daemon {
	struct loom_control *control;
	struct loom_spread_config *config;
	struct loom_self self;
	char name[16];
	char address[LOOM_ADDRESS_SIZE];
	GMutex lock;
	struct loom_manifest *manifest; /* under lock */
	struct loom_hosts *hosts; /* under lock */
};

struct fixture {
	struct test_standin standin;
	struct daemon daemons[DAEMONS];
	struct loom_public_key public_key;
	struct loom_secret_key secret_key;
	const char *seeds[DAEMONS];
	uint64_t next_incarnation;
	bool is_unsigned;
};

static void
on_publish(void *arg, struct loom_manifest *manifest, struct loom_hosts *hosts)
{
	struct daemon *daemon = arg;

	g_mutex_lock(&daemon->lock);
	if (daemon->manifest != NULL)
		loom_manifest_release(daemon->manifest);
	daemon->manifest =
	    manifest != NULL ? loom_manifest_acquire(manifest) : NULL;
	if (daemon->hosts != NULL)
		loom_hosts_release(daemon->hosts);
	daemon->hosts = hosts != NULL ? loom_hosts_acquire(hosts) : NULL;
	g_mutex_unlock(&daemon->lock);
}

static void
bind_daemon(struct fixture *f, unsigned i)
{
	struct daemon *daemon = &f->daemons[i];
	struct loom_control_options options = {
		.inner = { .bind = daemon->address[0] != '\0' ? daemon->address
							      : "127.0.0.1:0" },
		.random = loom_random_system,
	};

	g_snprintf(daemon->name, sizeof(daemon->name), "orders-%u", i);
	daemon->self = (struct loom_self){
		.host = daemon->name,
		.service = "orders",
		.data_centre = "hobart-a",
		.region = "tas",
		.host_id = loom_name_id(daemon->name),
		.incarnation = ++f->next_incarnation,
	};
	options.inner.self = daemon->self;
	memset(options.inner.secret, 7, sizeof(options.inner.secret));
	daemon->control = loom_control_new(&options, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(daemon->control);
	g_strlcpy(daemon->address, loom_control_address(daemon->control),
	    sizeof(daemon->address));
	f->seeds[i] = daemon->address;
}

static void
run_daemon(struct fixture *f, unsigned i)
{
	struct daemon *daemon = &f->daemons[i];
	struct loom_spread_config_options options = {
		.control = daemon->control,
		.self = daemon->self,
		.random = loom_random_system,
		.platform_url = f->standin.url,
		.within_us = 2500 * LOOM_US_PER_MS,
		.trusted = &f->public_key,
		.ntrusted = 1,
		.is_unsigned = f->is_unsigned,
		.seeds = f->seeds,
		.nseeds = DAEMONS,
		.publish = on_publish,
		.arg = daemon,
	};

	daemon->config = loom_spread_config_new(&options);
	CU_ASSERT_PTR_NOT_NULL_FATAL(daemon->config);
	CU_ASSERT_FATAL(loom_control_start(daemon->control));
}

static void
stop_daemon(struct daemon *daemon)
{
	loom_control_stop(daemon->control);
	talloc_free(daemon->config);
	loom_control_free(daemon->control);
	if (daemon->manifest != NULL)
		loom_manifest_release(daemon->manifest);
	if (daemon->hosts != NULL)
		loom_hosts_release(daemon->hosts);
	daemon->manifest = NULL;
	daemon->hosts = NULL;
}

static void
call_standin(
    struct fixture *f, const char *method, const char *path, const char *body)
{
	char *answer = test_standin_call(&f->standin, method, path, body);

	CU_ASSERT_PTR_NOT_NULL(answer);
	g_free(answer);
}

static void
put_signed(struct fixture *f, const struct loom_secret_key *key,
    const char *name, const char *document)
{
	char *path = g_strconcat("/test/values/manifest/", name, NULL);
	char *text = loom_envelope_sign(key, document, strlen(document), NULL);

	call_standin(f, "PUT", path, text);
	g_free(text);
	g_free(path);
}

/* Writes the document "teams", with one team and one key, under a name. */
static void
put_team(struct fixture *f, const struct loom_secret_key *key, const char *name,
    unsigned version, unsigned burst, bool withdrawn)
{
	char *document = g_strdup_printf(
	    "{\"document\": \"teams\", \"version\": %u, \"teams\": [{"
	    "\"name\": \"t\", \"rate_per_s\": 5, \"burst\": %u, \"keys\": [{"
	    "\"id\": \"k\", \"sha256\": \"" DIGEST "\", \"withdrawn\": %s}]}]}",
	    version, burst, withdrawn ? "true" : "false");

	put_signed(f, key, name, document);
	g_free(document);
}

static void
put_hosts(struct fixture *f)
{
	GString *text = g_string_new("[");
	unsigned i;

	for (i = 0; i < DAEMONS; i++)
		g_string_append_printf(text,
		    "%s{\"name\": \"%s\", \"data_centre\": \"hobart-a\", "
		    "\"region\": \"tas\", \"state\": \"live\", "
		    "\"peer\": \"127.0.0.1:1\", \"control\": \"%s\"}",
		    i > 0 ? "," : "", f->daemons[i].name,
		    f->daemons[i].address);
	g_string_append_c(text, ']');
	call_standin(f, "PUT", "/test/values/hosts/orders", text->str);
	g_string_free(text, TRUE);
}

/* Writes an unsigned document with one team, and routes to fill it. */
static void
put_routes(struct fixture *f, unsigned version, unsigned burst, unsigned routes)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_append_printf(text,
	    "{\"document\": \"fleet\", \"version\": %u, \"services\": "
	    "[{\"name\": \"orders\"}], \"teams\": [{\"name\": \"t\", "
	    "\"rate_per_s\": 5, \"burst\": %u, \"keys\": []}], "
	    "\"routes\": [",
	    version, burst);
	for (i = 0; i < routes; i++)
		g_string_append_printf(text,
		    "%s{\"name\": \"r-%08x\", \"host\": \"shop.example\", "
		    "\"method\": \"*\", \"path\": \"/%08x/*\", "
		    "\"idempotent\": true, \"importance\": \"normal\", "
		    "\"timeout_ms\": 5000, \"deadline_ms\": 5000, "
		    "\"service\": \"orders\"}",
		    i > 0 ? ", " : "", i * 2654435761U, i * 2246822519U);
	g_string_append(text, "]}");
	call_standin(f, "PUT", "/test/values/manifest/fleet", text->str);
	g_string_free(text, TRUE);
}

static void
setup(struct fixture *f)
{
	unsigned i;

	memset(f, 0, sizeof(*f));
	CU_ASSERT_FATAL(test_standin_start(&f->standin, "platform", NULL));
	loom_key_pair(&f->public_key, &f->secret_key);
	for (i = 0; i < DAEMONS; i++)
		bind_daemon(f, i);
	put_hosts(f);
	put_team(f, &f->secret_key, "teams", 1, 10, false);
	for (i = 0; i < DAEMONS; i++)
		run_daemon(f, i);
}

static void
teardown(struct fixture *f)
{
	unsigned i;

	for (i = 0; i < DAEMONS; i++)
		stop_daemon(&f->daemons[i]);
	test_standin_stop(&f->standin);
}

/* Returns the burst in effect at a daemon, 0 if no manifest is. */
static unsigned
burst_at(struct daemon *daemon)
{
	unsigned burst = 0;

	g_mutex_lock(&daemon->lock);
	if (daemon->manifest != NULL && daemon->manifest->nteams > 0)
		burst = daemon->manifest->teams[0].burst;
	g_mutex_unlock(&daemon->lock);
	return burst;
}

static bool
is_ready(struct daemon *daemon)
{
	return loom_spread_is_ready(loom_spread_config_spread(daemon->config));
}

static bool
all_ready_with(struct fixture *f, unsigned burst)
{
	unsigned i;

	for (i = 0; i < DAEMONS; i++) {
		if (!is_ready(&f->daemons[i]) ||
		    burst_at(&f->daemons[i]) != burst)
			return false;
	}
	return true;
}

/* Polls until the condition holds; the test fails after LIMIT_US. */
#define WAIT(condition)                                              \
	do {                                                         \
		gint64 end = g_get_monotonic_time() + LIMIT_US;      \
		while (!(condition) && g_get_monotonic_time() < end) \
			g_usleep(POLL_US);                           \
		TEST_CHECK(condition, "timed out");                  \
	} while (0)

static int64_t
count(const char *name)
{
	return loom_counter_value(loom_counter(name, NULL, ""));
}

static void
test_in_force(void)
{
	uint8_t digest[LOOM_DIGEST_SIZE] = { [LOOM_DIGEST_SIZE - 1] = 1 };
	const struct loom_key *key;
	struct daemon *daemon;
	struct fixture f;
	char *status;
	unsigned i;

	setup(&f);
	WAIT(all_ready_with(&f, 10));
	put_team(&f, &f.secret_key, "teams", 2, 20, true);
	WAIT(all_ready_with(&f, 20));
	for (i = 0; i < DAEMONS; i++) {
		daemon = &f.daemons[i];
		g_mutex_lock(&daemon->lock);
		key = loom_manifest_key(daemon->manifest, digest);
		CU_ASSERT(key == NULL || key->withdrawn);
		CU_ASSERT_EQUAL(daemon->hosts->nhosts, DAEMONS);
		g_mutex_unlock(&daemon->lock);
	}
	status = loom_spread_status(
	    loom_spread_config_spread(f.daemons[0].config), loom_now_us());
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(status, "\"name\":\"manifest\\/teams\",\"version\":2"));
	CU_ASSERT_PTR_NOT_NULL(strstr(status, "hosts\\/orders"));
	g_free(status);
	teardown(&f);
}

/*
 * Guards against values that take effect without passing all checks.  The
 * platform serves a forged document, a signed document under another name, an
 * older version under a new revision, and a document that does not combine with
 * the rest.  What is in effect must stay, and the next valid change must still
 * take effect.
 */
static void
test_refused(void)
{
	struct loom_secret_key untrusted;
	struct loom_public_key untrusted_public;
	int64_t refused, old, bad_sets;
	struct fixture f;

	setup(&f);
	loom_key_pair(&untrusted_public, &untrusted);
	WAIT(all_ready_with(&f, 10));
	put_team(&f, &f.secret_key, "teams", 2, 20, false);
	WAIT(all_ready_with(&f, 20));
	refused = count("loom_spread_refused_total");
	put_team(&f, &untrusted, "teams", 3, 30, false);
	WAIT(count("loom_spread_refused_total") > refused);
	refused = count("loom_spread_refused_total");
	put_team(&f, &f.secret_key, "other", 3, 30, false);
	WAIT(count("loom_spread_refused_total") > refused);
	old = count("loom_spread_old_total");
	put_team(&f, &f.secret_key, "teams", 1, 10, false);
	WAIT(count("loom_spread_old_total") > old);
	bad_sets = count("loom_spread_bad_sets_total");
	put_signed(&f, &f.secret_key, "routes",
	    "{\"document\": \"routes\", \"version\": 1, \"routes\": [{"
	    "\"name\": \"r\", \"service\": \"none\", \"method\": \"GET\", "
	    "\"path\": \"/r\"}]}");
	WAIT(count("loom_spread_bad_sets_total") >= bad_sets + DAEMONS);
	CU_ASSERT(all_ready_with(&f, 20));
	put_team(&f, &f.secret_key, "teams", 4, 40, false);
	put_signed(&f, &f.secret_key, "routes",
	    "{\"document\": \"routes\", \"version\": 2}");
	WAIT(all_ready_with(&f, 40));
	teardown(&f);
}

/* The platform goes down and a daemon is replaced at the same address.  It
 * holds nothing, and must get everything from the peers in its settings. */
static void
test_restart_without_platform(void)
{
	struct fixture f;

	setup(&f);
	WAIT(all_ready_with(&f, 10));
	call_standin(&f, "POST", "/test/fault?mode=down", "");
	stop_daemon(&f.daemons[2]);
	bind_daemon(&f, 2);
	run_daemon(&f, 2);
	WAIT(all_ready_with(&f, 10));
	call_standin(&f, "POST", "/test/fault?mode=none", "");
	put_team(&f, &f.secret_key, "teams", 2, 20, false);
	WAIT(all_ready_with(&f, 20));
	teardown(&f);
}

/* Guards against a configuration that is refused for its length, so that no
 * later version comes into force. */
static void
test_long_document(void)
{
	const unsigned routes = 4500;
	struct fixture f = { .is_unsigned = true };
	unsigned i;

	CU_ASSERT_FATAL(test_standin_start(&f.standin, "platform", NULL));
	for (i = 0; i < DAEMONS; i++)
		bind_daemon(&f, i);
	put_hosts(&f);
	put_routes(&f, 1, 10, 1);
	for (i = 0; i < DAEMONS; i++)
		run_daemon(&f, i);
	WAIT(all_ready_with(&f, 10));
	put_routes(&f, 2, 20, routes);
	WAIT(all_ready_with(&f, 20));
	put_routes(&f, 3, 30, routes + 1);
	WAIT(all_ready_with(&f, 30));
	teardown(&f);
}

static const struct test_case tests[] = {
	{ "in force", test_in_force },
	{ "long document", test_long_document },
	{ "refused", test_refused },
	{ "restart without platform", test_restart_without_platform },
};

TEST_MAIN("spread of documents", tests)
