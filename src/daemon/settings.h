#ifndef LOOM_DAEMON_SETTINGS_H
#define LOOM_DAEMON_SETTINGS_H

/*
 * A daemon's settings, which are read once at its start. docs/SETTINGS.md
 * describes them for operators.
 */

#include "loom/settings.h"

struct daemon_settings {
	char *host;
	char *service;
	char *data_centre;
	char *region;
	char *listen; /* for callers and the own upstream */
	char *peer_listen; /* for calls from other daemons */
	char *control_listen; /* for control messages */
	char *control_address; /* as seen by other daemons, or NULL */
	char *source_address; /* ip of outgoing connections, or NULL */
	char *upstream; /* "ip:port" */
	char *ready_listen; /* for readiness and metrics; or NULL */
	char *platform; /* "http://ip:port" */
	double change_within_s; /* for a change to reach all daemons */
	char **data_centres; /* "NAME=REGION", used if the host lists name
			      * no regions */
	uint32_t list_lag_ms; /* between two daemons' host lists */
	uint32_t rights_wait_ms; /* maximum that a call waits for a token */
	uint32_t rights_withheld_ms; /* no rate of its own after a start */
	uint32_t rights_partitions;
	double rate_slack; /* calls of each team beyond its burst */
	uint32_t rights_newcomer_ms; /* when newly listed; 0: list_lag_ms */
	bool platform_is_current; /* never answers with an old state */
	bool unsigned_documents; /* no signatures are required */
	bool crash_witnesses; /* detect crashes by idle connections */
	char **seeds; /* control addresses of other daemons */
	char *fleet_secret; /* 64 hex digits */
	char **trusted_signers; /* Ed25519 public keys in hex */
	char *log_level;
	char *trace; /* "none", "log" or an OTLP/HTTP URL */
	char *tls_key_file;
	char *tls_cert_file;
	uint32_t workers;
	uint32_t connections;
	uint32_t idle_timeout_s;
	double limit_max_part; /* of the slots; 0: all */
	double limit_min_part; /* of the slots, at any latency */
	double cold_overage; /* factor of a cold upstream's rate */
	double cold_slack; /* calls in a second beyond that */
	double far_cost; /* factor for another data centre */
	bool decide_by_work; /* where there is a reason to */
	double repeat_ratio; /* repeats per first call; 0: none here */
	double repeat_window_s; /* in which repeat_ratio holds */
	uint32_t upstream_idle_ms; /* unused connections are kept */
	uint32_t drain_timeout_s;
	uint32_t drain_notice_ms; /* minimum for announcing a shutdown */
	uint32_t drain_delay_ms; /* serving continues while not ready */
	double stop_within_s; /* from SIGTERM to the kill; 0: none */
};

extern const struct loom_field daemon_fields[];

#endif
