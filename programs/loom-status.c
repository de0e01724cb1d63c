/*
 * loom-status: prints the status that a daemon reports, as a table or as JSON.
 */

#include <argtable2.h>
#include <curl/curl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#include "loom/http_get.h"
#include "loom/version.h"

#define EXIT_USAGE 2
#define TIMEOUT_MS 5000

static struct json_object *
json_member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, name, &value);
	return value;
}

/* Returns "-" if there is no such member. */
static const char *
json_member_text(struct json_object *object, const char *name)
{
	struct json_object *value = json_member(object, name);

	return value == NULL ? "-" : json_object_get_string(value);
}

/* Returns 0 if there is no such member. */
static double
json_member_number(struct json_object *object, const char *name)
{
	return json_object_get_double(json_member(object, name));
}

static void
print_daemon(struct json_object *daemon)
{
	printf("%s  service %s  data centre %s  region %s\n",
	    json_member_text(daemon, "host"),
	    json_member_text(daemon, "service"),
	    json_member_text(daemon, "data_centre"),
	    json_member_text(daemon, "region"));
	printf("ready %s  draining %s  evacuated %s  calls in flight %s\n",
	    json_member_text(daemon, "ready"),
	    json_member_text(daemon, "draining"),
	    json_member_text(daemon, "evacuated"),
	    json_member_text(daemon, "inflight"));
}

static void
print_admission(struct json_object *admission)
{
	printf("\nlimit %s  inside %s  waiting %s  latency %.2f ms "
	       "(%.2f times its baseline)  quarantined %s\n",
	    json_member_text(admission, "limit"),
	    json_member_text(admission, "inside"),
	    json_member_text(admission, "waiting"),
	    json_member_number(admission, "latency_us") / 1000,
	    json_member_number(admission, "latency_ratio"),
	    json_member_text(admission, "quarantined"));
	if (json_member_number(admission, "start_bound") > 0)
		printf("cold: %s calls a second\n",
		    json_member_text(admission, "start_bound"));
	if (json_member_number(admission, "pace") > 0)
		printf("expected wait %.2f ms  mean call %.2f ms  pace %.2f\n",
		    json_member_number(admission, "wait_us") / 1000,
		    json_member_number(admission, "call_us") / 1000,
		    json_member_number(admission, "pace"));
}

static void
print_teams(struct json_object *teams)
{
	struct json_object *team;
	size_t i, n;

	n = teams == NULL ? 0 : json_object_array_length(teams);
	printf("\n%-24s %10s %8s %10s %8s %10s %8s\n", "team", "rate/s",
	    "burst", "here/s", "level", "demand/s", "waiting");
	for (i = 0; i < n; i++) {
		team = json_object_array_get_idx(teams, i);
		printf("%-24s %10.1f %8.0f %10.2f %8.2f %10.2f %8.0f\n",
		    json_member_text(team, "team"),
		    json_member_number(team, "rate_per_s"),
		    json_member_number(team, "burst"),
		    json_member_number(team, "refill_per_s"),
		    json_member_number(team, "level"),
		    json_member_number(team, "demand_per_s"),
		    json_member_number(team, "waiting"));
	}
}

static void
print_host_work(struct json_object *host)
{
	if (json_member(host, "age_ms") == NULL) {
		printf(
		    "  %-24s %8s\n", json_member_text(host, "host"), "unknown");
		return;
	}
	printf("  %-24s %8.2f %10.2f %6.2f %6s%% %8s %10.2f%s\n",
	    json_member_text(host, "host"),
	    json_member_number(host, "slowness"),
	    json_member_number(host, "wait_us") / 1000,
	    json_member_number(host, "used"),
	    json_member_text(host, "pace_percent"),
	    json_member_text(host, "age_ms"),
	    json_member_number(host, "correction"),
	    json_object_get_boolean(json_member(host, "eligible"))
		? ""
		: "  gets no calls");
}

/* Prints nothing if no host reports its work. */
static void
print_work(struct json_object *services)
{
	size_t i;

	if (services == NULL || json_object_object_length(services) == 0)
		return;
	json_object_object_foreach(services, service, hosts)
	{
		printf("\nwork at %s\n  %-24s %8s %10s %6s %7s %8s %10s\n",
		    service, "host", "slowness", "wait ms", "used", "pace",
		    "age ms", "correction");
		for (i = 0; i < json_object_array_length(hosts); i++)
			print_host_work(json_object_array_get_idx(hosts, i));
	}
}

static int
print_status(const char *address, bool json)
{
	GError *error = NULL;
	struct json_object *object;
	char *url, *text;

	url = g_strconcat("http://", address, "/.loom/status", NULL);
	text = loom_http_get(url, TIMEOUT_MS, &error);
	g_free(url);
	if (text == NULL) {
		fprintf(stderr, "loom-status: %d: %s\n", error->code,
		    error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	if (json) {
		printf("%s\n", text);
		g_free(text);
		return EXIT_SUCCESS;
	}
	object = json_tokener_parse(text);
	print_daemon(json_member(object, "daemon"));
	print_admission(json_member(object, "admission"));
	print_teams(json_member(object, "teams"));
	print_work(json_member(object, "work"));
	printf("\nin force: %s\n",
	    json_object_to_json_string_ext(json_member(object, "versions"),
		JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
	g_free(text);
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help =
	    arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
	    arg_lit0("V", "version", "print the version and exit");
	struct arg_lit *json =
	    arg_lit0("j", "json", "print JSON instead of a table");
	struct arg_str *address = arg_str0(NULL, NULL, "IP:PORT",
	    "address at which the daemon listens for callers");
	struct arg_end *end = arg_end(8);
	void *argtable[] = { help, version, json, address, end };
	int errors, status = EXIT_USAGE;

	errors = arg_parse(argc, argv, argtable);
	if (help->count > 0) {
		printf("usage: loom-status");
		arg_print_syntax(stdout, argtable, "\n");
		arg_print_glossary(stdout, argtable, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("loom-status %s\n", LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0 || address->count == 0) {
		arg_print_errors(stderr, end, "loom-status");
		fprintf(stderr, "usage: loom-status");
		arg_print_syntax(stderr, argtable, "\n");
	} else {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		status = print_status(address->sval[0], json->count > 0);
	}
	arg_freetable(argtable, sizeof(argtable) / sizeof(argtable[0]));
	return status;
}
