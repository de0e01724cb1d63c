/*
 * Starts, configures and stops the processes of a testbed, and partitions the
 * network between them.
 */

#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "loom/manifest.h"
#include "support/testbed.h"

#define POLL_INTERVAL_US 5000

/*
 * On a busy machine, starting all daemons can take longer than TESTBED_WAIT_MS.
 * testbed_wait_ready() waits up to this many times that limit.
 */
#define READY_WAIT_COUNT 3

/* The second number of a host's loopback address: 64 to 123. */
#define LOOPBACK_NET_FIRST 64
#define LOOPBACK_NET_COUNT 60
#define PORT_CALLERS TESTBED_PORT_CALLERS
#define PORT_PEERS 7100
#define PORT_CONTROL TESTBED_PORT_CONTROL
#define PORT_UPSTREAM TESTBED_PORT_UPSTREAM
/*
 * With a relay, the host list names these ports.  The relay listens on them and
 * forwards to PORT_PEERS and PORT_CONTROL of the same host.
 */
#define PORT_PEERS_RELAYED 7300
#define PORT_CONTROL_RELAYED 7400
/* The last number of the address at which the relay offers the platform; it is
 * above TESTBED_HOSTS_MAX, so that no host has it. */
#define RELAY_PLATFORM_HOST 251

char *
testbed_file(const struct testbed *testbed, uint32_t host, const char *suffix)
{
	return g_strdup_printf(
	    "%s/%s.%s", testbed->dir, testbed->hosts[host].name, suffix);
}

static pid_t
spawn_process(const char *const *argv, const char *log)
{
	pid_t pid = fork();

	if (pid != 0)
		return pid;
	/* Kill the process when the thread that started it ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (freopen(log, "a", stderr) == NULL ||
	    freopen("/dev/null", "w", stdout) == NULL)
		_exit(126);
	execv(argv[0], (char *const *)argv);
	_exit(127);
}

static char *
program_path(const char *name)
{
	const char *bin = getenv("LOOM_BIN");

	return g_build_filename(bin != NULL ? bin : "build/bin", name, NULL);
}

/*
 * Gives each host a name, a data centre and an address.  The network depends on
 * the process id, so that test programs can run at the same time.
 */
static void
assign_addresses(struct testbed *testbed)
{
	unsigned net =
	    LOOPBACK_NET_FIRST + (unsigned)getpid() % LOOPBACK_NET_COUNT;
	unsigned block = (unsigned)getpid() / LOOPBACK_NET_COUNT % 250;
	struct testbed_host *host;
	uint32_t i, j;

	for (i = 0; i < testbed->nservices; i++) {
		for (j = 0; j < testbed->services[i].hosts; j++) {
			host = &testbed->hosts[testbed->nhosts];
			host->service = &testbed->services[i];
			host->data_centre =
			    testbed->nhosts % testbed->data_centres;
			g_snprintf(host->name, sizeof(host->name), "%s-%u",
			    host->service->name, j + 1);
			testbed->nhosts++;
			g_snprintf(host->ip, sizeof(host->ip), "127.%u.%u.%u",
			    net, block, testbed->nhosts);
		}
	}
}

static int
listed_peer_port(const struct testbed *testbed)
{
	return testbed->relay.pid > 0 ? PORT_PEERS_RELAYED : PORT_PEERS;
}

static int
listed_control_port(const struct testbed *testbed)
{
	return testbed->relay.pid > 0 ? PORT_CONTROL_RELAYED : PORT_CONTROL;
}

void
testbed_publish_hosts(struct testbed *testbed)
{
	const struct testbed_host *host;
	GString *text;
	char *path;
	uint32_t i, j;

	for (i = 0; i < testbed->nservices; i++) {
		text = g_string_new("[");
		for (j = 0; j < testbed->nhosts; j++) {
			host = &testbed->hosts[j];
			if (host->service != &testbed->services[i] ||
			    host->unlisted)
				continue;
			g_string_append_printf(text,
			    "%s{\"name\":\"%s\",\"data_centre\":\"dc-%u\","
			    "\"region\":\"r\",\"state\":\"%s\","
			    "\"peer\":\"%s:%d\",\"control\":\"%s:%d\","
			    "\"evacuated\":%s}",
			    text->len > 1 ? "," : "", host->name,
			    host->data_centre,
			    host->leaving ? "leaving" : "live", host->ip,
			    listed_peer_port(testbed), host->ip,
			    listed_control_port(testbed),
			    host->evacuated ? "true" : "false");
		}
		g_string_append_c(text, ']');
		path = g_strconcat(
		    "/test/values/hosts/", testbed->services[i].name, NULL);
		g_free(test_standin_call(
		    &testbed->platform, "PUT", path, text->str));
		g_free(path);
		g_string_free(text, TRUE);
	}
}

void
testbed_put_document(
    struct testbed *testbed, const char *name, const char *text)
{
	GError *error = NULL;
	char *sealed, *path;

	sealed = loom_envelope_sign(
	    &testbed->secret_key, text, strlen(text), &error);
	g_assert_no_error(error);
	path = g_strconcat("/test/values/manifest/", name, NULL);
	g_free(test_standin_call(&testbed->platform, "PUT", path, sealed));
	g_free(path);
	g_free(sealed);
}

char *
testbed_platform_call(
    struct testbed *testbed, const char *method, const char *path)
{
	return test_standin_call(&testbed->platform, method, path, NULL);
}

static void
write_settings(struct testbed *testbed, uint32_t index)
{
	const struct testbed_host *host = &testbed->hosts[index];
	char *file = testbed_file(testbed, index, "json");
	char signer[65];
	GString *text = g_string_new(NULL);
	uint32_t i;

	sodium_bin2hex(signer, sizeof(signer), testbed->public_key.bytes,
	    sizeof(testbed->public_key.bytes));
	g_string_append_printf(text,
	    "{\"host\":\"%s\",\"service\":\"%s\",\"data_centre\":\"dc-%u\","
	    "\"region\":\"r\",\"listen\":\"%s:%d\",\"peer_listen\":\"%s:%d\","
	    "\"control_listen\":\"%s:%d\",\"upstream\":\"%s:%d\","
	    "\"platform\":\"%s\",\"fleet_secret\":\"%s\","
	    "\"trusted_signers\":[\"%s\"],\"trace\":\"log\",\"seeds\":[",
	    host->name, host->service->name, host->data_centre, host->ip,
	    PORT_CALLERS, host->ip, PORT_PEERS, host->ip, PORT_CONTROL,
	    host->ip, PORT_UPSTREAM,
	    host->platform_url != NULL   ? host->platform_url
		: testbed->relay.pid > 0 ? testbed->platform_via_relay
					 : testbed->platform.url,
	    TESTBED_FLEET_SECRET, signer);
	for (i = 0; i < testbed->nhosts && i < 3; i++)
		g_string_append_printf(text, "%s\"%s:%d\"", i > 0 ? "," : "",
		    testbed->hosts[i].ip, listed_control_port(testbed));
	g_string_append_c(text, ']');
	if (host->service->settings != NULL)
		g_string_append_printf(text, ",%s", host->service->settings);
	if (host->tls_key_file != NULL)
		g_string_append_printf(text,
		    ",\"tls_key_file\":\"%s\",\"tls_cert_file\":\"%s\"",
		    host->tls_key_file, host->tls_cert_file);
	if (host->service->settings != NULL)
		g_string_append_printf(text, ",%s", host->service->settings);
	if (testbed->relay.pid > 0)
		g_string_append_printf(text,
		    ",\"source_address\":\"%s\","
		    "\"control_address\":\"%s:%d\"",
		    host->ip, host->ip, PORT_CONTROL_RELAYED);
	g_string_append_c(text, '}');
	g_file_set_contents(file, text->str, -1, NULL);
	g_string_free(text, TRUE);
	g_free(file);
}

bool
testbed_start_daemon(struct testbed *testbed, uint32_t index)
{
	char *settings = testbed_file(testbed, index, "json");
	char *log = testbed_file(testbed, index, "log");
	const char *program = testbed->hosts[index].service->daemon;
	char *path = program_path(program != NULL ? program : "loomd");
	const char *argv[] = { path, settings, NULL };

	write_settings(testbed, index);
	testbed->hosts[index].daemon = spawn_process(argv, log);
	g_free(path);
	g_free(log);
	g_free(settings);
	return testbed->hosts[index].daemon > 0;
}

bool
testbed_start_upstream(struct testbed *testbed, uint32_t index)
{
	struct testbed_host *host = &testbed->hosts[index];
	char *log = testbed_file(testbed, index, "upstream.log");
	char *ledger = testbed_file(testbed, index, "ledger");
	char *dump = testbed_file(testbed, index, "dump");
	char *path = program_path("upstream");
	char *port = g_strdup_printf("--port=%d", PORT_UPSTREAM);
	char *ip = g_strdup_printf("--ip=%s", host->ip);
	char *service = g_strdup_printf("--service=%s", host->service->name);
	char *daemon =
	    g_strdup_printf("--daemon=%s:%d", host->ip, PORT_CALLERS);
	char *slots = g_strdup_printf("--slots=%u", host->service->slots);
	char *ms =
	    g_strdup_printf("--service-ms=%u", host->service->service_ms);
	GPtrArray *argv = g_ptr_array_new();
	uint32_t i;

	g_ptr_array_add(argv, path);
	g_ptr_array_add(argv, ip);
	g_ptr_array_add(argv, port);
	g_ptr_array_add(argv, service);
	g_ptr_array_add(argv, daemon);
	g_ptr_array_add(argv, slots);
	g_ptr_array_add(argv, ms);
	g_ptr_array_add(argv, (gpointer) "--ledger");
	g_ptr_array_add(argv, ledger);
	g_ptr_array_add(argv, (gpointer) "--dump");
	g_ptr_array_add(argv, dump);
	if (host->service->keep_listen_socket)
		g_ptr_array_add(argv, (gpointer) "--held-socket");
	for (i = 0; host->service->calls[i] != NULL; i++) {
		g_ptr_array_add(argv, (gpointer) "--call");
		g_ptr_array_add(argv, (gpointer)host->service->calls[i]);
	}
	g_ptr_array_add(argv, NULL);
	host->upstream = spawn_process((const char *const *)argv->pdata, log);
	g_ptr_array_free(argv, TRUE);
	g_free(ms);
	g_free(slots);
	g_free(daemon);
	g_free(service);
	g_free(ip);
	g_free(port);
	g_free(path);
	g_free(dump);
	g_free(ledger);
	g_free(log);
	return host->upstream > 0;
}

static bool
start_relay(struct testbed *testbed)
{
	char *net_prefix = g_strdup(testbed->hosts[0].ip);
	char net[48], hosts[32], platform[32], peer_ports[32],
	    control_ports[32];
	const char *argv[] = { net, hosts, peer_ports, control_ports, platform,
		NULL };
	bool started;

	*strrchr(net_prefix, '.') = '\0';
	g_snprintf(net, sizeof(net), "--net=%s.0", net_prefix);
	g_snprintf(hosts, sizeof(hosts), "--hosts=%u", testbed->nhosts);
	g_snprintf(peer_ports, sizeof(peer_ports), "--ports=%d:%d",
	    PORT_PEERS_RELAYED, PORT_PEERS);
	g_snprintf(control_ports, sizeof(control_ports), "--ports=%d:%d",
	    PORT_CONTROL_RELAYED, PORT_CONTROL);
	g_snprintf(platform, sizeof(platform), "--platform=%u",
	    testbed->platform.port);
	g_snprintf(testbed->platform_via_relay,
	    sizeof(testbed->platform_via_relay), "http://%s.%d:%d", net_prefix,
	    RELAY_PLATFORM_HOST, PORT_PEERS_RELAYED);
	started = test_standin_start(&testbed->relay, "relay", argv);
	g_free(net_prefix);
	return started;
}

/* The hosts as the relay's "from" and "to" take them; owned. */
static char *
relay_host_list(const struct testbed *testbed, const bool *included)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i <= testbed->nhosts; i++) {
		if (included[i])
			g_string_append_printf(text, "%s%u",
			    text->len > 0 ? "," : "",
			    i < testbed->nhosts ? i + 1 : RELAY_PLATFORM_HOST);
	}
	return g_string_free(text, FALSE);
}

void
testbed_partition(struct testbed *testbed, const struct testbed_partition *cut)
{
	char *from = relay_host_list(testbed, cut->from);
	char *to = relay_host_list(testbed, cut->to);
	char *path =
	    g_strdup_printf("/test/cut?from=%s&to=%s&ways=%s&mode=%s&port=%d",
		from, to, cut->one_way ? "one" : "both", cut->mode,
		cut->control_only ? PORT_CONTROL_RELAYED : 0);

	g_free(test_standin_call(&testbed->relay, "POST", path, NULL));
	g_free(path);
	g_free(to);
	g_free(from);
}

void
testbed_isolate_first_data_centre(
    struct testbed *testbed, const char *mode, bool one_way)
{
	bool first_centre[TESTBED_HOSTS_MAX + 1] = { false };
	bool others[TESTBED_HOSTS_MAX + 1] = { false };
	const struct testbed_partition cut = {
		.from = others,
		.to = first_centre,
		.mode = mode,
		.one_way = one_way,
	};
	uint32_t i;

	for (i = 0; i < testbed->nhosts; i++) {
		first_centre[i] = testbed->hosts[i].data_centre == 0;
		others[i] = !first_centre[i];
	}
	first_centre[testbed->nhosts] = true;
	testbed_partition(testbed, &cut);
}

void
testbed_remove_partitions(struct testbed *testbed)
{
	g_free(test_standin_call(&testbed->relay, "POST", "/test/heal", NULL));
}

static bool
start_testbed(struct testbed *testbed, const struct testbed_service *services,
    uint32_t nservices, uint32_t data_centres, bool relayed,
    const char *document)
{
	uint32_t i;

	memset(testbed, 0, sizeof(*testbed));
	curl_global_init(CURL_GLOBAL_DEFAULT);
	testbed->services = services;
	testbed->nservices = nservices;
	testbed->data_centres = data_centres;
	testbed->dir = g_dir_make_tmp("loom-testbed-XXXXXX", NULL);
	if (sodium_init() < 0 || testbed->dir == NULL ||
	    !test_standin_start(&testbed->platform, "platform", NULL))
		return false;
	loom_key_pair(&testbed->public_key, &testbed->secret_key);
	assign_addresses(testbed);
	if (relayed && !start_relay(testbed))
		return false;
	testbed_publish_hosts(testbed);
	testbed_put_document(testbed, "test", document);
	for (i = 0; i < testbed->nhosts; i++) {
		if ((!testbed->hosts[i].service->without_upstreams &&
			!testbed_start_upstream(testbed, i)) ||
		    !testbed_start_daemon(testbed, i))
			return false;
	}
	for (i = 0; i < testbed->nhosts; i++) {
		if (!testbed_wait_ready(testbed, i))
			return false;
	}
	return true;
}

bool
testbed_start(struct testbed *testbed, const struct testbed_service *services,
    uint32_t nservices, uint32_t data_centres, const char *document)
{
	return start_testbed(
	    testbed, services, nservices, data_centres, false, document);
}

bool
testbed_start_relayed(struct testbed *testbed,
    const struct testbed_service *services, uint32_t nservices,
    uint32_t data_centres, const char *document)
{
	return start_testbed(
	    testbed, services, nservices, data_centres, true, document);
}

void
testbed_signal(pid_t *pid, int signal_number)
{
	if (*pid <= 0)
		return;
	kill(*pid, signal_number);
	if (signal_number == SIGSTOP || signal_number == SIGCONT)
		return;
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

static void
remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	char *file;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		file = g_build_filename(path, name, NULL);
		g_unlink(file);
		g_free(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(path);
}

void
testbed_stop(struct testbed *testbed)
{
	uint32_t i;

	for (i = 0; i < testbed->nhosts; i++) {
		testbed_signal(&testbed->hosts[i].daemon, SIGKILL);
		testbed_signal(&testbed->hosts[i].upstream, SIGKILL);
	}
	test_standin_stop(&testbed->relay);
	test_standin_stop(&testbed->platform);
	/* LOOM_KEEP in the environment keeps the logs for inspection. */
	if (getenv("LOOM_KEEP") == NULL && testbed->dir != NULL)
		remove_dir(testbed->dir);
	g_free(testbed->dir);
	memset(testbed, 0, sizeof(*testbed));
}

bool
testbed_wait_condition(bool (*condition)(void *arg), void *arg)
{
	gint64 deadline_us = g_get_monotonic_time() + TESTBED_WAIT_MS * 1000;

	while (!condition(arg)) {
		if (g_get_monotonic_time() > deadline_us)
			return false;
		g_usleep(POLL_INTERVAL_US);
	}
	return true;
}

struct ready_wait {
	struct testbed *testbed;
	uint32_t host;
};

static bool
daemon_is_ready(void *arg)
{
	struct ready_wait *wait = arg;
	struct testbed_reply reply;
	bool ready;

	testbed_call(wait->testbed, wait->host, "GET", "/.loom/health", NULL,
	    NULL, 0, &reply);
	ready = reply.status == 200;
	testbed_reply_clear(&reply);
	return ready;
}

bool
testbed_wait_ready(struct testbed *testbed, uint32_t host)
{
	struct ready_wait wait = { .testbed = testbed, .host = host };
	bool ready = false;
	uint32_t i;

	for (i = 0; i < READY_WAIT_COUNT && !ready; i++)
		ready = testbed_wait_condition(daemon_is_ready, &wait);
	return ready;
}
