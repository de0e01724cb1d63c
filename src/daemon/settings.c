/*
 * The table of a daemon's settings. The ranges are wide; they only keep a
 * typing error from causing an outage.
 */

#include <stddef.h>
#include <string.h>

#include "daemon/settings.h"
#include "decide/ownership.h"
#include "loom/balance.h"
#include "loom/clock.h"
#include "loom/log.h"
#include "loom/rights.h"
#include "loom/spread.h"

#define OFFSET(member) offsetof(struct daemon_settings, member)
#define KEY_HEX_DIGITS 64

static enum loom_result
check_hex_key(const char *text)
{
	if (strlen(text) != KEY_HEX_DIGITS ||
	    strspn(text, "0123456789abcdefABCDEF") != KEY_HEX_DIGITS)
		return LOOM_SETTING_RANGE;
	return LOOM_OK;
}

static enum loom_result
check_region_mapping(const char *text)
{
	const char *equals = strchr(text, '=');

	return equals != NULL && equals != text && equals[1] != '\0'
	    ? LOOM_OK
	    : LOOM_SETTING_RANGE;
}

static enum loom_result
check_trace(const char *text)
{
	if (strcmp(text, "none") == 0 || strcmp(text, "log") == 0 ||
	    strncmp(text, "http://", 7) == 0)
		return LOOM_OK;
	return LOOM_SETTING_RANGE;
}

static enum loom_result
check_level(const char *text)
{
	enum loom_log_level level;

	return loom_log_level_parse(text, &level) ? LOOM_OK
						  : LOOM_SETTING_RANGE;
}

#define NAME(setting)                                                          \
	{                                                                      \
		.name = #setting, .type = LOOM_FIELD_STRING, .required = true, \
		.offset = OFFSET(setting),                                     \
	}

#define ADDRESS(setting)                                                       \
	{                                                                      \
		.name = #setting, .type = LOOM_FIELD_STRING, .required = true, \
		.offset = OFFSET(setting),                                     \
		.check = loom_setting_check_address,                           \
		.expects = "an address ip:port",                               \
	}

const struct loom_field daemon_fields[] = {
	NAME(host),
	NAME(service),
	NAME(data_centre),
	NAME(region),
	ADDRESS(listen),
	ADDRESS(peer_listen),
	ADDRESS(control_listen),
	{ .name = "control_address",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(control_address),
	    .check = loom_setting_check_address,
	    .expects = "an address ip:port" },
	{ .name = "source_address",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(source_address),
	    .check = loom_setting_check_ip,
	    .expects = "an ip" },
	ADDRESS(upstream),
	{ .name = "ready_listen",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(ready_listen),
	    .check = loom_setting_check_address,
	    .expects = "an address ip:port" },
	NAME(platform),
	{ .name = "change_within_s",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(change_within_s),
	    .min = 1,
	    .max = 600,
	    .number_default =
		(double)LOOM_SPREAD_WITHIN_DEFAULT_US / LOOM_US_PER_S },
	{ .name = "data_centres",
	    .type = LOOM_FIELD_STRINGS,
	    .offset = OFFSET(data_centres),
	    .check = check_region_mapping,
	    .expects = "NAME=REGION" },
	{ .name = "platform_is_current",
	    .type = LOOM_FIELD_BOOL,
	    .offset = OFFSET(platform_is_current) },
	{ .name = "list_lag_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(list_lag_ms),
	    .min = 100,
	    .max = 60000,
	    .number_default = 10000 },
	{ .name = "rights_wait_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(rights_wait_ms),
	    .min = 1,
	    .max = 1000,
	    .number_default = LOOM_RIGHTS_WAIT_US / LOOM_US_PER_MS },
	{ .name = "rights_withheld_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(rights_withheld_ms),
	    .min = 100,
	    .max = 60000,
	    .number_default = LOOM_OWN_WITHHELD_US / LOOM_US_PER_MS },
	{ .name = "rate_slack",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(rate_slack),
	    .max = 100000 },
	{ .name = "rights_newcomer_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(rights_newcomer_ms),
	    .max = 60000 },
	{ .name = "rights_partitions",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(rights_partitions),
	    .min = 1,
	    .max = LOOM_RIGHTS_PARTITIONS_MAX,
	    .number_default = 1 },
	{ .name = "unsigned_documents",
	    .type = LOOM_FIELD_BOOL,
	    .offset = OFFSET(unsigned_documents) },
	{ .name = "crash_witnesses",
	    .type = LOOM_FIELD_BOOL,
	    .offset = OFFSET(crash_witnesses),
	    .number_default = true },
	{ .name = "seeds",
	    .type = LOOM_FIELD_STRINGS,
	    .offset = OFFSET(seeds),
	    .check = loom_setting_check_address,
	    .expects = "an address ip:port" },
	{ .name = "fleet_secret",
	    .type = LOOM_FIELD_STRING,
	    .required = true,
	    .offset = OFFSET(fleet_secret),
	    .check = check_hex_key,
	    .expects = "64 hex digits" },
	{ .name = "trusted_signers",
	    .type = LOOM_FIELD_STRINGS,
	    .required = true,
	    .offset = OFFSET(trusted_signers),
	    .check = check_hex_key,
	    .expects = "64 hex digits" },
	{ .name = "log_level",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(log_level),
	    .text_default = "info",
	    .check = check_level,
	    .expects = "debug, info, warn or error" },
	{ .name = "trace",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(trace),
	    .text_default = "none",
	    .check = check_trace,
	    .expects = "none, log or an http:// URL" },
	{ .name = "tls_key_file",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(tls_key_file) },
	{ .name = "tls_cert_file",
	    .type = LOOM_FIELD_STRING,
	    .offset = OFFSET(tls_cert_file) },
	{ .name = "workers",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(workers),
	    .min = 1,
	    .max = 64,
	    .number_default = 2 },
	{ .name = "connections",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(connections),
	    .min = 8,
	    .max = 100000,
	    .number_default = 2000 },
	{ .name = "idle_timeout_s",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(idle_timeout_s),
	    .min = 1,
	    .max = 3600,
	    .number_default = 60 },
	{ .name = "limit_max_part",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(limit_max_part),
	    .max = 1 },
	{ .name = "limit_min_part",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(limit_min_part),
	    .max = 1 },
	{ .name = "cold_overage",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(cold_overage),
	    .min = 0.1,
	    .max = 100,
	    .number_default = 1 },
	{ .name = "cold_slack",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(cold_slack),
	    .max = 100000 },
	{ .name = "far_cost",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(far_cost),
	    .min = 1,
	    .max = 100,
	    .number_default = LOOM_FAR_COST },
	{ .name = "decide_by_work",
	    .type = LOOM_FIELD_BOOL,
	    .offset = OFFSET(decide_by_work) },
	{ .name = "repeat_ratio",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(repeat_ratio),
	    .max = 1 },
	{ .name = "repeat_window_s",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(repeat_window_s),
	    .min = 1,
	    .max = 600,
	    .number_default = 10 },
	{ .name = "upstream_idle_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(upstream_idle_ms),
	    .min = 1000,
	    .max = 3600000,
	    .number_default = 15000 },
	{ .name = "drain_timeout_s",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(drain_timeout_s),
	    .min = 1,
	    .max = 3600,
	    .number_default = 60 },
	{ .name = "drain_notice_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(drain_notice_ms),
	    .max = 60000,
	    .number_default = 1000 },
	{ .name = "drain_delay_ms",
	    .type = LOOM_FIELD_U32,
	    .offset = OFFSET(drain_delay_ms),
	    .max = 60000 },
	{ .name = "stop_within_s",
	    .type = LOOM_FIELD_DOUBLE,
	    .offset = OFFSET(stop_within_s),
	    .max = 3600 },
	{ .name = NULL },
};
