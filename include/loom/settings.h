#ifndef LOOM_SETTINGS_H
#define LOOM_SETTINGS_H

/*
 * Settings files of the programs: JSON with comments, described by a table of
 * fields (loom/fields.h) and read once at the start.
 */

#include "loom/fields.h"

/*
 * Read a whole settings file into out by fields.  On failure *problems holds
 * everything that is wrong (owned by the caller), and out is released.  On
 * success the caller releases out with loom_fields_free().
 */
bool loom_settings_load(const char *file, const struct loom_field *fields,
    void *out, struct loom_problem **problems);

/* The same for text that is already in memory; file is used in messages. */
bool loom_settings_parse(const char *text, size_t len, const char *file,
    const struct loom_field *fields, void *out, struct loom_problem **problems);

/* For .check: "ip:port" with an IPv4 address or an IPv6 one in brackets;
 * port 0 is allowed and means any free one. */
enum loom_result loom_setting_check_address(const char *text);
/* For .check: an IPv4 address, or an IPv6 one without brackets. */
enum loom_result loom_setting_check_ip(const char *text);

#endif
