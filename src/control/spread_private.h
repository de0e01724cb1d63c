#ifndef LOOM_SPREAD_PRIVATE_H
#define LOOM_SPREAD_PRIVATE_H

/*
 * The state of the spread's part, shared by its files: spread.c (life and
 * ticks), spread_messages.c (messages), spread_peers.c (whom to tell),
 * spread_pull.c (asking for and giving values), spread_age.c (how old the
 * knowledge is), spread_role.c (calls to the platform), spread_force.c (putting
 * in force, readiness, status).
 */

#include <stdatomic.h>

#include "control/spread_store.h"
#include "control/spread_wire.h"
#include "loom/age.h"
#include "loom/counter.h"
#include "loom/spread.h"

/* Two rings.  One brings a change to the last of 3,000 daemons in 10.5 s at
 * worst, too near to the 11 s promised; two in 2.1 s; three in 1.5 s, for 12%
 * more bytes of a budget that is tighter than the time (docs/design/spread.md).
 */
#define SPREAD_FANOUT 2

/* Changes this young are named in each summary, which repairs lost pushes
 * without comparing whole stores. */
#define SPREAD_RECENT_US (4 * LOOM_US_PER_S)
#define SPREAD_RECENT_IDS 16

/* While starting, and after a pause, peers are asked this often. */
#define SPREAD_STARTUP_INTERVAL_US (300 * LOOM_US_PER_MS)

/* Questions whose answers are waited for. */
#define SPREAD_QUERIES_MAX 8

/* Agreeing peers that are remembered while starting. */
#define SPREAD_PEER_STATES_MAX 8

/* A peer's bytes of values: 256 KB/s on average, and enough at once for all
 * documents of a fleet. */
#define SPREAD_GIVE_BYTES_PER_S (256 * 1024)
#define SPREAD_GIVE_BURST_BYTES (8 * 1024 * 1024)

struct spread_peer_state {
	uint64_t host_id;
	uint64_t root; /* the last that it named */
	bool ready;
};

/* A question to a peer on what it holds. */
struct spread_query {
	uint64_t number; /* 0: none */
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

	/* whom to tell */
	uint64_t *seeds; /* owned */
	uint32_t nseeds;
	bool platform_is_current;
	GArray *local; /* uint64_t: ids of this data centre, self too */
	GArray *live; /* those of local that are not leaving, by rank */
	GArray *remote; /* ids of the others */
	uint32_t rank; /* in live; their number when not there */
	uint64_t neighbours[SPREAD_FANOUT];
	uint32_t nneighbours;
	uint64_t remote_peer; /* id in another data centre; 0 for none */
	uint64_t remote_peer_until_us;
	uint32_t query_round; /* whose turn it is for a summary */

	/* what to tell */
	GArray *push_queue; /* uint64_t: names not pushed yet */
	uint64_t last_push_us;
	uint64_t last_exchange_us; /* when the last was started; 0 for never */
	uint64_t last_accepted_us; /* when the last version came */
	uint64_t next_startup_query_us; /* when to ask around next; 0 for never
					   yet */

	/* what was asked for */
	GHashTable *pending; /* name's id: struct pending */
	double give_tokens; /* tokens left */
	uint64_t give_refilled_us;

	/* how old the knowledge is */
	struct loom_age_plan plan;
	struct loom_age age;
	struct spread_query queries[SPREAD_QUERIES_MAX];
	uint64_t last_query_number; /* its number */
	uint64_t next_query_us; /* when the next is due */
	uint64_t last_reply_us; /* when a peer last answered one */
	/* what a peer's word proves as soon as all that it holds is held */
	uint64_t pending_root;
	uint64_t pending_as_of_us; /* 0: none */
	uint64_t next_read_us; /* when to read the platform for it; 0: not */
	bool reported_stale; /* older than the plan's own reading, in the log */

	/* the platform */
	uint64_t sent_us[LOOM_SPREAD_KINDS]; /* of the call last answered */
	uint64_t answered_us[LOOM_SPREAD_KINDS]; /* 0 for never */
	uint64_t first_answer_us[LOOM_SPREAD_KINDS];
	bool watching;
	uint64_t next_fetch_us; /* when to ask next while starting */
	uint64_t fetch_delay_us;

	/* in force */
	bool changed[LOOM_SPREAD_KINDS];
	uint64_t last_apply_us;
	uint64_t started_us;
	uint64_t last_tick_us;
	bool has_manifest; /* a manifest is */
	bool refused[LOOM_SPREAD_KINDS]; /* the held set does not join */
	atomic_bool ready;
	bool any_peer_answered; /* any answered */
	struct spread_peer_state peer_states[SPREAD_PEER_STATES_MAX];
	uint32_t npeer_states;
	GMutex status_lock;
	GArray *status; /* struct spread_status_row; under status_lock */
};

/* spread_peers.c */
void spread_peers_set(struct loom_spread *, const struct loom_hosts *);
/* Choose another bridge when its time is over. */
void spread_peers_rotate(struct loom_spread *, uint64_t now_us);
/* A random id of the data centre, of the others, of the seeds; 0 for none. */
uint64_t spread_peers_random_local(struct loom_spread *);
uint64_t spread_peers_random_remote(struct loom_spread *);
uint64_t spread_peers_random_seed(struct loom_spread *);

/* spread_pull.c */
void spread_pull_init(struct loom_spread *);
void spread_pull_free(struct loom_spread *);
/* Ask host for what it has newer; ids are what it said.  Returns how many of
 * them are newer than what is held. */
uint32_t spread_pull_request(struct loom_spread *, uint64_t host_id,
    const struct spread_id *ids, uint32_t n, uint64_t now_us);
/* Ask again for what did not come. */
void spread_pull_tick(struct loom_spread *, uint64_t now_us);
void spread_pull_received(struct loom_spread *, uint64_t id);
void spread_pull_serve(struct loom_spread *, uint64_t host_id,
    const struct spread_want *, uint64_t now_us);

/* spread_force.c */
void spread_apply_init(struct loom_spread *);
void spread_apply_free(struct loom_spread *);
void spread_apply_tick(struct loom_spread *, uint64_t now_us);
/* A peer named its root. */
void spread_apply_note_peer(
    struct loom_spread *, uint64_t host_id, uint64_t root, bool ready);

/* spread_messages.c */
void spread_send(struct loom_spread *, uint64_t host_id, uint8_t type,
    const void *payload, size_t len);
/* Fill in the state of this daemon and send. */
void spread_send_have(struct loom_spread *, uint64_t host_id,
    struct spread_have *, uint64_t now_us);
/* A summary: the root and the latest ids.  ask for an answer in any case. */
void spread_send_summary(
    struct loom_spread *, uint64_t host_id, bool wants_reply, uint64_t now_us);
/* A copy from the platform or a peer. */
void spread_receive_value(struct loom_spread *, const char *name,
    uint64_t number, const char *text, size_t len, uint64_t now_us);
/* The part's message function. */
void spread_handle_message(void *part, const struct loom_from *, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us);

/* spread_age.c */
/* Ask peers, and the platform, as the age wants it. */
void spread_age_tick(struct loom_spread *, uint64_t now_us);
/* Note a question; returns its number. */
uint64_t spread_age_note_query(
    struct loom_spread *, uint64_t host_id, uint64_t now_us);
/* A peer answered a question. */
void spread_age_note_reply(struct loom_spread *, uint64_t host_id,
    const struct spread_have *, uint64_t now_us);
/* What is held has changed. */
void spread_age_update(struct loom_spread *);

/* spread_role.c */
void spread_update_role(struct loom_spread *);
void spread_fetch_while_starting(struct loom_spread *, uint64_t now_us);

#endif
