#ifndef LOOM_CONTROL_H
#define LOOM_CONTROL_H

/*
 * Communication between daemons: the interface between the control thread and
 * its components.
 *
 * A component implements one protocol with its peers in other daemons: the
 * spread of documents, the rights of teams, the homes of retries, the handover
 * of tickets.  It is a state machine, driven from outside by messages, ticks
 * and local calls, and it acts only through a struct loom_sender.  So a test
 * can run a fleet of components on a fake clock and lose, delay, duplicate and
 * reorder their messages, pause them and partition them from each other.
 *
 * The callbacks of a component run on the control thread only.  A component
 * that is also called by workers does its own locking; its state is sharded,
 * with a lock for each shard.
 *
 * Messages may be lost, delayed, duplicated or reordered.  No component may
 * depend on the arrival of any of them.
 */

#include <stddef.h>
#include <stdint.h>

#include "loom/hosts.h"
#include "loom/manifest.h"

/* Message types.  A number is never reused. */
enum loom_message_type {
	/* spread of documents and host lists: 1-19 */
	LOOM_MESSAGE_SPREAD_FIRST = 1,
	/* team rights and pools: 20-39 */
	LOOM_MESSAGE_RIGHTS_FIRST = 20,
	/* retry homes: 40-49 */
	LOOM_MESSAGE_RETRY_FIRST = 40,
	/* tickets and their handover: 50-69 */
	LOOM_MESSAGE_TICKET_FIRST = 50,
	/* quarantine: 70-79 */
	LOOM_MESSAGE_QUARANTINE_FIRST = 70,
	/*
	 * a host's announcement that it shuts down, shedding thresholds: 80-89
	 */
	LOOM_MESSAGE_HOST_FIRST = 80,
	LOOM_MESSAGE_TYPES = 128,
};

/* The sender of a message, authenticated by the transport. */
struct loom_message_source {
	uint64_t host_id; /* loom_name_id() of the host's name */
	uint64_t incarnation; /* random, new at each start of the daemon */
};

/* How a component sends messages. */
struct loom_sender {
	/*
	 * Sends without waiting for delivery. payload is borrowed during the
	 * call.
	 */
	void (*send)(void *arg, uint64_t host_id, uint8_t type,
	    const void *payload, size_t len);
	void *arg; /* borrowed */
};

/* The callbacks of a component; any function may be NULL. */
struct loom_component_ops {
	const char *name; /* borrowed, static */
	/* range of message types delivered to this component */
	uint8_t first_type;
	uint8_t last_type;
	uint32_t tick_us; /* period of tick(); 0 for never */
	/*
	 * Period of tick() while busy() returns true; 0 to use tick_us always.
	 * Lets an idle daemon wake up rarely, and not hundreds of times a
	 * second for waits that no call has.
	 */
	uint32_t busy_tick_us;
	bool (*busy)(void *component);
	void (*message)(void *component, const struct loom_message_source *from,
	    uint8_t type, const uint8_t *payload, size_t len, uint64_t now_us);
	void (*tick)(void *component, uint64_t now_us);
	/* manifest and hosts are borrowed; acquire them to keep them. */
	void (*manifest_changed)(
	    void *component, struct loom_manifest *manifest, uint64_t now_us);
	void (*hosts_changed)(
	    void *component, struct loom_hosts *hosts, uint64_t now_us);
	/*
	 * The daemon is shutting down: hand over to other daemons what must not
	 * be lost.
	 */
	void (*drain)(void *component, uint64_t now_us);
};

/* The identity of this daemon; borrowed strings live as long as the process. */
struct loom_self {
	const char *host;
	const char *service;
	const char *data_centre;
	const char *region;
	const char *control; /* "ip:port" at which others reach it */
	uint64_t host_id;
	uint64_t service_id;
	uint64_t incarnation;
};

#endif
