#ifndef LOOM_CONTROL_H
#define LOOM_CONTROL_H

/*
 * Control between daemons: parts and what they may do.
 *
 * A part is one concern that talks to its like in other daemons: the spread
 * of documents, the rights of teams, the homes of retries, the hand-over of
 * tickets.  It is a state machine that is driven from outside by messages,
 * ticks and local calls, and that acts through a struct loom_sender alone.
 * So a test can play a fleet of parts on a fake clock and lose, delay, repeat
 * and reorder their messages, pause them and cut them off from each other.
 *
 * A part's table runs on the control thread only.  Calls from workers into a
 * part are the part's own business: its state is in shards, each under its
 * own lock.
 *
 * Messages may be lost, delayed, repeated or reordered.  No part may need one
 * to arrive.
 */

#include <stddef.h>
#include <stdint.h>

#include "loom/hosts.h"
#include "loom/manifest.h"

/* Message types; one number is never given twice. */
enum loom_message_type {
	/* spread of documents and host lists: 1-19 */
	LOOM_MESSAGE_SPREAD_FIRST = 1,
	/* team rights and pools: 20-39 */
	LOOM_MESSAGE_RIGHTS_FIRST = 20,
	/* retry homes: 40-49 */
	LOOM_MESSAGE_RETRY_FIRST = 40,
	/* tickets and hand-over: 50-69 */
	LOOM_MESSAGE_TICKET_FIRST = 50,
	/* quarantine: 70-79 */
	LOOM_MESSAGE_QUARANTINE_FIRST = 70,
	/* a host's own word that it leaves, shedding thresholds: 80-89 */
	LOOM_MESSAGE_HOST_FIRST = 80,
	LOOM_MESSAGE_TYPES = 128,
};

/* Who sent a message.  Authenticated by the transport. */
struct loom_from {
	uint64_t host_id; /* loom_name_id() of the host's name */
	uint64_t incarnation; /* random, new at each start of the daemon */
};

/* How a part acts on the world. */
struct loom_sender {
	/* Send and forget.  payload is borrowed for the call. */
	void (*send)(void *arg, uint64_t host_id, uint8_t type,
	    const void *payload, size_t len);
	void *arg; /* borrowed */
};

/* What a part is told; any function may be NULL. */
struct loom_part_ops {
	const char *name; /* borrowed, static */
	uint8_t first_type; /* the message types that come to this part */
	uint8_t last_type;
	uint32_t tick_us; /* how often tick is called; 0 for never */
	/* How often instead while busy() is true; 0 for no difference.  An
	 * idle daemon must not wake hundreds of times a second for waits that
	 * nobody has. */
	uint32_t busy_tick_us;
	bool (*busy)(void *part);
	void (*message)(void *part, const struct loom_from *from, uint8_t type,
	    const uint8_t *payload, size_t len, uint64_t now_us);
	void (*tick)(void *part, uint64_t now_us);
	/* manifest and hosts are borrowed: acquire to keep. */
	void (*manifest_changed)(
	    void *part, struct loom_manifest *manifest, uint64_t now_us);
	void (*hosts_changed)(
	    void *part, struct loom_hosts *hosts, uint64_t now_us);
	/* The daemon is leaving: give to others what must not be lost. */
	void (*drain)(void *part, uint64_t now_us);
};

/* Who this daemon is; borrowed strings live as long as the process. */
struct loom_self {
	const char *host;
	const char *service;
	const char *data_centre;
	const char *region;
	const char *control; /* "ip:port" as others reach it */
	uint64_t host_id;
	uint64_t service_id;
	uint64_t incarnation;
};

#endif
