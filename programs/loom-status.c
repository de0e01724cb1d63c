/*
 * loom-status: what a daemon says of itself, as a table or as JSON.
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
member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, name, &value);
	return value;
}

static const char *
text_of(struct json_object *object, const char *name)
{
	struct json_object *value = member(object, name);

	return value == NULL ? "-" : json_object_get_string(value);
}

static double
number_of(struct json_object *object, const char *name)
{
	return json_object_get_double(member(object, name));
}

static void
print_daemon(struct json_object *daemon)
{
	printf("%s  service %s  data centre %s  region %s\n",
	    text_of(daemon, "host"), text_of(daemon, "service"),
	    text_of(daemon, "data_centre"), text_of(daemon, "region"));
	printf("ready %s  draining %s  calls under way %s\n",
	    text_of(daemon, "ready"), text_of(daemon, "draining"),
	    text_of(daemon, "inflight"));
}

static void
print_admission(struct json_object *admission)
{
	printf("\nlimit %s  inside %s  waiting %s  latency %.2f ms "
	       "(%.2f of its floor)  quarantined %s\n",
	    text_of(admission, "limit"), text_of(admission, "inside"),
	    text_of(admission, "waiting"),
	    number_of(admission, "latency_us") / 1000,
	    number_of(admission, "latency_ratio"),
	    text_of(admission, "quarantined"));
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
		    text_of(team, "team"), number_of(team, "rate_per_s"),
		    number_of(team, "burst"), number_of(team, "refill_per_s"),
		    number_of(team, "level"), number_of(team, "demand_per_s"),
		    number_of(team, "waiting"));
	}
}

static int
show(const char *address, bool json)
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
	print_daemon(member(object, "daemon"));
	print_admission(member(object, "admission"));
	print_teams(member(object, "teams"));
	printf("\nin force: %s\n",
	    json_object_to_json_string_ext(member(object, "versions"),
		JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
	g_free(text);
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this");
	struct arg_lit *version = arg_lit0("V", "version", "show the version");
	struct arg_lit *json = arg_lit0("j", "json", "as JSON, not as a table");
	struct arg_str *address =
	    arg_str0(NULL, NULL, "IP:PORT", "where the daemon listens");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, json, address, end };
	int errors, status = EXIT_USAGE;

	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("usage: loom-status");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		status = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("loom-status %s\n", LOOM_VERSION);
		status = EXIT_SUCCESS;
	} else if (errors > 0 || address->count == 0) {
		arg_print_errors(stderr, end, "loom-status");
		fprintf(stderr, "usage: loom-status");
		arg_print_syntax(stderr, table, "\n");
	} else {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		status = show(address->sval[0], json->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
