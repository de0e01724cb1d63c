#ifndef BENCH_MODEL_PRIVATE_H
#define BENCH_MODEL_PRIVATE_H

/* What the files of the model share. */

#include <glib.h>

#include "loom/admission.h"
#include "loom/balance.h"
#include "loom/shed.h"
#include "model.h"

#define MODEL_BIN_US (UINT64_C(100) * LOOM_US_PER_MS)
#define MODEL_DEADLINE_US (UINT64_C(500) * LOOM_US_PER_MS)

enum event_kind {
	EVENT_ARRIVAL, /* of the next request */
	EVENT_CALL, /* a call reaches its executor */
	EVENT_WORK_DONE,
	EVENT_ANSWER, /* an answer reaches the hop above */
	EVENT_TIMEOUT, /* an attempt's deadline */
	EVENT_AGAIN, /* a caller sends again */
	EVENT_TICK,
};

struct event {
	uint64_t at_us;
	uint64_t sequence; /* order of events at one time */
	enum event_kind kind;
	uint32_t generation; /* of the call; older ones are void */
	void *object;
};

struct event_heap {
	struct event *events;
	size_t n, size;
	uint64_t sequence;
};

void event_push(struct event_heap *, const struct event *);
bool event_pop(struct event_heap *, struct event *);

enum call_state {
	CALL_IDLE,
	CALL_SENT,
	CALL_WAITING, /* in the executor's queue */
	CALL_INNER, /* in the upstream's own queue */
	CALL_WORKING,
	CALL_DEEPER, /* holds its slot, waits for the hop below */
	CALL_ANSWERED,
};

struct target;
struct attempt;

/* One hop of one attempt. */
struct call {
	struct loom_admission_call waiting;
	struct attempt *attempt;
	struct target *target;
	enum call_state state;
	uint32_t hop;
	uint32_t generation;
	uint32_t tries;
	uint64_t sent_us;
	uint64_t begun_us;
	uint64_t nested_us;
	bool ok;
	bool refused; /* by the executor's daemon itself */
	uint16_t cut;
	struct call *next; /* FIFO of a target */
};

/* What a caller wants; it may take several attempts. */
struct request {
	uint32_t team;
	enum loom_importance importance;
	uint64_t first_us;
	uint32_t attempts;
	bool is_long;
	bool in_window;
	bool ok;
};

struct attempt {
	struct request *request;
	uint64_t root_id;
	uint64_t deadline_us;
	uint32_t centre;
	uint32_t refs;
	bool is_long;
	bool over; /* the caller has its answer, or has given up */
	double work_us;
	uint16_t cuts[MODEL_SERVICES]; /* collected on the way up */
	struct call calls[MODEL_SERVICES];
};

struct fifo {
	struct call *head;
	struct call **tail;
	uint32_t n;
};

/* One upstream and its daemon. */
struct target {
	uint32_t service;
	uint32_t index;
	uint32_t centre;
	uint64_t host_id;
	uint32_t working; /* slots in use, as the upstream sees it */
	struct fifo inner; /* waits inside the upstream */
	uint32_t inside; /* FIXED_FIFO: calls let in */
	struct fifo waiting; /* FIXED_FIFO */
	struct loom_admission *admission;
	struct loom_balance *balance; /* to the service below */
	struct loom_shed *shed;
};

/* The daemon that callers of a data centre come to. */
struct entry {
	struct loom_balance *balance;
	struct loom_shed *shed;
};

struct tally {
	uint64_t offered[MODEL_TEAMS][LOOM_IMPORTANCE_COUNT];
	uint64_t served[MODEL_TEAMS][LOOM_IMPORTANCE_COUNT];
	uint64_t attempts[MODEL_TEAMS];
	uint64_t refused[MODEL_TEAMS];
	uint64_t done_in_window;
	uint64_t steady_attempts;
	uint64_t steady_refused;
	double work_us;
	double wasted_us;
	GArray *latency_ms[LOOM_IMPORTANCE_COUNT]; /* float */
	uint32_t *bin_offered; /* by arrival of the request */
	uint32_t *bin_served; /* done within one deadline */
	uint32_t nbins;
};

struct model {
	const struct model_firm *firm;
	const struct model_pattern *pattern;
	enum model_policy policy;
	struct loom_random random;
	GRand *rand;
	void *ctx; /* talloc */
	uint64_t now_us;
	struct event_heap heap;
	struct target targets[MODEL_SERVICES][MODEL_TARGETS];
	struct entry entries[MODEL_CENTRES];
	struct tally tally;
};

bool model_in_window(const struct model *);

/* model_callers.c: arrivals, attempts, sending again. */
void model_arrival(struct model *);
void model_again(struct model *, struct request *);
void model_attempt_over(struct model *, struct attempt *, bool ok, bool refused,
    uint64_t retry_after_us);
void model_attempt_release(struct attempt *);

/* model_path.c: an attempt's way through the chain. */
void model_start(struct model *, struct attempt *);
void model_call_arrives(struct model *, struct call *);
void model_work_done(struct model *, struct call *);
void model_answer(struct model *, struct call *);
void model_cancel(struct model *, struct attempt *);
void model_tick(struct model *);

/* model_report.c */
void tally_init(struct model *);
void tally_free(struct model *);
void tally_report(const struct model *, struct model_result *);

#endif
