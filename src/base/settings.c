/*
 * Loads settings files.  A load either fills the whole struct or reports every
 * error in the file at once.
 */

#include <arpa/inet.h>
#include <string.h>

#include "loom/settings.h"

#define PORT_MAX 65535

static const struct loom_field_codes setting_codes = {
	.syntax = LOOM_JSON_SYNTAX,
	.unknown = LOOM_SETTING_UNKNOWN,
	.type = LOOM_SETTING_TYPE,
	.range = LOOM_SETTING_RANGE,
	.missing = LOOM_SETTING_MISSING,
};

bool
loom_settings_parse(const char *text, size_t len, const char *file,
    const struct loom_field *fields, void *out, struct loom_problem **problems)
{
	struct loom_field_source source = {
		.file = file,
		.codes = &setting_codes,
	};
	struct json_object *object;
	bool ok;

	object = loom_fields_parse(&source, text, len, problems);
	if (object == NULL)
		return false;
	ok = loom_fields_read(&source, object, fields, out, problems);
	if (!ok)
		loom_fields_free(fields, out);
	json_object_put(object);
	return ok;
}

bool
loom_settings_load(const char *file, const struct loom_field *fields, void *out,
    struct loom_problem **problems)
{
	GError *cause = NULL;
	char *text;
	gsize len;
	bool ok;

	if (!g_file_get_contents(file, &text, &len, &cause)) {
		loom_problem_add(
		    problems, LOOM_FILE_UNREADABLE, file, "%s", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = loom_settings_parse(text, len, file, fields, out, problems);
	g_free(text);
	return ok;
}

static bool
is_ip(const char *text, size_t len)
{
	struct in6_addr address;
	char ip[INET6_ADDRSTRLEN];
	int family = AF_INET;

	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		family = AF_INET6;
		text++;
		len -= 2;
	}
	if (len >= sizeof(ip))
		return false;
	memcpy(ip, text, len);
	ip[len] = '\0';
	return inet_pton(family, ip, &address) == 1;
}

enum loom_result
loom_setting_check_ip(const char *text)
{
	struct in6_addr address;

	if (inet_pton(AF_INET, text, &address) == 1 ||
	    inet_pton(AF_INET6, text, &address) == 1)
		return LOOM_OK;
	return LOOM_SETTING_RANGE;
}

enum loom_result
loom_setting_check_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	guint64 port;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 0, PORT_MAX, &port, NULL))
		return LOOM_SETTING_RANGE;
	if (!is_ip(text, (size_t)(colon - text)))
		return LOOM_SETTING_RANGE;
	return LOOM_OK;
}
