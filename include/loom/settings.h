#ifndef LOOM_SETTINGS_H
#define LOOM_SETTINGS_H

/*
 * Settings files of the programs: JSON with comments, described by a table of
 * fields (loom/fields.h) and read once at startup.
 */

#include "loom/fields.h"

/*
 * Reads a whole settings file into out as described by fields.  On failure,
 * *problems lists every error (owned by the caller) and out is already freed.
 * On success the caller frees out with loom_fields_free().
 */
bool loom_settings_load(const char *file, const struct loom_field *fields,
    void *out, struct loom_problem **problems);

/* The same for text in memory; file is the name used in messages. */
bool loom_settings_parse(const char *text, size_t len, const char *file,
    const struct loom_field *fields, void *out, struct loom_problem **problems);

/*
 * For loom_field.check: accepts "ip:port" with an IPv4 address or an IPv6
 * address in brackets.  Port 0 is allowed and means any free port.
 */
enum loom_result loom_setting_check_address(const char *text);
/*
 * For loom_field.check: accepts an IPv4 address, or an IPv6 address without
 * brackets.
 */
enum loom_result loom_setting_check_ip(const char *text);

#endif
