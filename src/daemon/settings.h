#ifndef LOOM_DAEMON_SETTINGS_H
#define LOOM_DAEMON_SETTINGS_H

/*
 * What one daemon is told at its start.  docs/SETTINGS.md has the same list
 * for operators.
 */

#include "loom/settings.h"

struct daemon_settings {
	char *host;
	char *service;
	char *data_centre;
	char *region;
	char *listen; /* callers and the own upstream's calls */
	char *peer_listen; /* data from other daemons */
	char *control_listen; /* control from other daemons */
	char *control_address; /* as other daemons reach it, or NULL */
	char *source_address; /* of connections out, an ip, or NULL */
	char *upstream; /* "ip:port" */
	char *ready_listen; /* readiness and metrics alone, or NULL */
	char *platform; /* "http://ip:port" */
	double change_within_s; /* a change there is in force everywhere */
	char **data_centres; /* "NAME=REGION", where the platform's lists of
			      * hosts name no region */
	uint32_t list_lag_ms; /* between two daemons' lists of hosts */
	uint32_t rights_wait_ms; /* a call waits for a token so long */
	uint32_t rights_withheld_ms; /* a starting daemon owns no rate */
	uint32_t rights_partitions;
	uint32_t rights_newcomer_ms; /* a newly listed one; 0: list_lag_ms */
	bool platform_is_current; /* it never answers with an older state */
	bool unsigned_documents; /* the platform's word is enough */
	bool crash_witnesses; /* idle connections that tell an upstream's end
			       */
	char **seeds; /* control addresses of some other daemons */
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
	double limit_min_part; /* of the slots, whatever latency says */
	double far_cost; /* of an upstream in another data centre */
	uint32_t upstream_idle_ms; /* unused connections are kept so long */
	uint32_t drain_timeout_s;
	uint32_t
	    drain_notice_ms; /* answers say at least so long that it goes */
	uint32_t drain_delay_ms; /* served on so long while not ready */
	double stop_within_s; /* of SIGTERM the process is killed; 0: never */
};

extern const struct loom_field daemon_fields[];

#endif
