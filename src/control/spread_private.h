#ifndef LOOM_SPREAD_PRIVATE_H
#define LOOM_SPREAD_PRIVATE_H

/*
 * State of the gossip protocol, shared by its files: spread.c (creation and
 * ticks), spread_messages.c (messages), spread_peers.c (choice of peers),
 * spread_pull.c (requesting and serving values), spread_age.c (age of the
 * data), spread_role.c (reading the platform), spread_apply.c (applying
 * versions, readiness, status).
 */

#include <stdatomic.h>

#include "control/spread_store.h"
#include "control/spread_wire.h"
#include "decide/send_limit.h"
#include "loom/age.h"
#include "loom/counter.h"
#include "loom/spread.h"

/*
 * Neighbours notified of a change.  With one, a change took up to 10.5 s to
 * reach the last of 3,000 daemons, too close to the promised 11 s; with two it
 * takes 2.1 s.  Three would take 1.5 s for 12% more bytes, and the bandwidth
 * budget is tighter than the time limit (docs/design/spread.md).
 */
#define SPREAD_FANOUT 2

/* Changes at most this old are listed in each summary, so that a lost push is
 * repaired without comparing whole stores. */
#define SPREAD_RECENT_US (4 * LOOM_US_PER_S)
#define SPREAD_RECENT_IDS 16

/* While starting: mean interval between queries to peers, and minimum interval
 * between exchanges of digests. */
#define SPREAD_STARTUP_INTERVAL_US (300 * LOOM_US_PER_MS)

/* Queries that can await a reply at the same time. */
#define SPREAD_QUERIES_MAX 8

/* Peers whose state is remembered while starting. */
#define SPREAD_PEER_STATES_MAX 8

enum spread_origin {
	SPREAD_FROM_PLATFORM,
	SPREAD_FROM_PEER,
};

struct spread_peer_state {
	uint64_t host_id;
	uint64_t root; /* root digest in its latest message */
	bool ready;
};

/* A query to a peer about the data that it holds. */
struct spread_query {
	uint64_t number; /* 0 if the slot is unused */
	uint64_t host_id;
	uint64_t asked_us;
};

struct spread_counters {
	struct loom_counter *accepted; /* all borrowed */
	struct loom_counter *old;
	struct loom_counter *refused;
	struct loom_counter *malformed;
	struct loom_counter *exchanges;
	struct loom_counter *held_back;
	struct loom_counter *bad_set;
	struct loom_counter *own_readings;
	struct loom_counter *age_ms; /* gauge */
};

struct loom_spread {
	struct loom_self self;
	struct loom_sender sender;
	struct loom_random random;
	const struct loom_spread_ops *ops; /* borrowed */
	void *arg; /* borrowed */
	struct spread_store *store; /* owned */
	struct spread_counters counters;

	/* peers */
	uint64_t *seeds; /* owned */
	uint32_t nseeds;
	bool platform_is_current;
	GArray *local; /* uint64_t: ids of this data centre, with self */
	GArray *live; /* uint64_t: those of local in state live, by rank */
	GArray *remote; /* uint64_t: ids of other data centres */
	uint32_t rank; /* of self in live; live->len if not in it */
	uint64_t neighbours[SPREAD_FANOUT];
	uint32_t nneighbours;
	uint64_t remote_peer; /* in another data centre; 0 for none */
	uint64_t remote_peer_until_us;
	uint32_t query_round; /* number of queries sent; selects the target */

	/* changes */
	GArray *push_queue; /* uint64_t: ids of names to push */
	uint64_t last_push_us;
	uint64_t last_exchange_us; /* start of the last one; 0 for never */
	uint64_t last_accepted_us; /* when the last newer version arrived */
	uint64_t next_startup_query_us; /* 0 until the first startup tick */

	/* requests */
	GHashTable *pending; /* name's id: struct pending_request */
	struct send_limit *send_limit; /* owned */

	/* age of the data */
	struct loom_age_timing timing;
	struct loom_age age;
	struct spread_query queries[SPREAD_QUERIES_MAX];
	uint64_t last_query_number;
	uint64_t next_query_us;
	uint64_t last_reply_us; /* when a peer last replied to a query */
	/* Once the root of the store is pending_root, the data is complete up
	 * to pending_as_of_us, as a peer's reply proved. */
	uint64_t pending_root;
	uint64_t pending_as_of_us; /* 0 for none */
	uint64_t next_read_us; /* next read of the platform; 0 for none */
	bool reported_stale; /* the age was over the limit at the last tick */

	/* the platform */
	uint64_t sent_us[LOOM_SPREAD_KINDS]; /* start of the call answered */
	uint64_t answered_us[LOOM_SPREAD_KINDS]; /* 0 for never */
	uint64_t first_answer_us[LOOM_SPREAD_KINDS];
	bool watching;
	uint64_t next_fetch_us; /* next fetch while starting */
	uint64_t fetch_delay_us;

	/* versions in effect */
	bool changed[LOOM_SPREAD_KINDS];
	uint64_t last_apply_us;
	uint64_t started_us;
	uint64_t last_tick_us;
	bool has_manifest; /* a manifest is in effect */
	bool refused[LOOM_SPREAD_KINDS]; /* the versions held were rejected */
	atomic_bool ready;
	bool any_peer_answered;
	struct spread_peer_state peer_states[SPREAD_PEER_STATES_MAX];
	uint32_t npeer_states;
	GMutex status_lock;
	GArray *status; /* struct spread_status_row; under status_lock */
};

/* spread_peers.c */
void spread_peers_set(struct loom_spread *, const struct loom_hosts *);
/* Chooses another remote_peer when the time of the present one is over. */
void spread_peers_rotate(struct loom_spread *, uint64_t now_us);
/* Return a random id of this data centre, of the others or of the seeds; 0 if
 * there is none or it is this daemon. */
uint64_t spread_peers_random_local(struct loom_spread *);
uint64_t spread_peers_random_remote(struct loom_spread *);
uint64_t spread_peers_random_seed(struct loom_spread *);

/* spread_pull.c */
void spread_pull_init(struct loom_spread *);
void spread_pull_free(struct loom_spread *);
/*
 * Requests those versions from a host that are newer than the ones held; ids
 * are what the host announced.  Returns how many of them are newer, whether
 * requested now or before.
 */
uint32_t spread_pull_request(struct loom_spread *, uint64_t host_id,
    const struct spread_id *ids, uint32_t n, uint64_t now_us);
/* Repeats requests that were not answered. */
void spread_pull_tick(struct loom_spread *, uint64_t now_us);
/* What it took to get a value; all 0 if it was not requested. */
struct spread_pull_effort {
	uint32_t requests;
	uint64_t waited_us; /* since the first of them */
};

/* A newer version has arrived: ends the request for it. */
struct spread_pull_effort spread_pull_received(
    struct loom_spread *, uint64_t id, uint64_t now_us);
/* Sends the values that a host wants, within the limit on repetitions. */
void spread_pull_serve(struct loom_spread *, uint64_t host_id,
    const struct spread_want *, uint64_t now_us);

/* spread_apply.c */
void spread_apply_init(struct loom_spread *);
void spread_apply_free(struct loom_spread *);
void spread_apply_tick(struct loom_spread *, uint64_t now_us);
/* Notes the root that a peer sent, while starting. */
void spread_apply_note_peer(
    struct loom_spread *, uint64_t host_id, uint64_t root, bool ready);

/* spread_messages.c */
void spread_send(struct loom_spread *, uint64_t host_id, uint8_t type,
    const void *payload, size_t len);
/* Fills in the state of this daemon and sends the message. */
void spread_send_have(struct loom_spread *, uint64_t host_id,
    struct spread_have *, uint64_t now_us);
/* Sends a summary: the root and the latest ids.  With wants_reply the host
 * answers in any case, and the reply shows its age. */
void spread_send_summary(
    struct loom_spread *, uint64_t host_id, bool wants_reply, uint64_t now_us);
/* Handles a copy from the platform or a peer. */
void spread_receive_value(struct loom_spread *, enum spread_origin,
    const char *name, uint64_t number, const char *text, size_t len,
    uint64_t now_us);
/* The message callback of loom_spread_part. */
void spread_handle_message(void *part, const struct loom_message_source *,
    uint8_t type, const uint8_t *payload, size_t len, uint64_t now_us);

/* spread_age.c */
/* Queries peers and reads the platform when the age calls for it. */
void spread_age_tick(struct loom_spread *, uint64_t now_us);
/* Records a query; returns its number. */
uint64_t spread_age_note_query(
    struct loom_spread *, uint64_t host_id, uint64_t now_us);
/* Handles the reply to a query. */
void spread_age_note_reply(struct loom_spread *, uint64_t host_id,
    const struct spread_have *, uint64_t now_us);
/* Advances the age if the root of the store is pending_root; to be called after
 * what is held has changed. */
void spread_age_update(struct loom_spread *);

/* spread_role.c */
void spread_update_role(struct loom_spread *);
void spread_fetch_while_starting(struct loom_spread *, uint64_t now_us);

#endif
