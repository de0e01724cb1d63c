/*
 * Queue of the calls that wait for one upstream.
 *
 * It has to handle bursts, a team that sends most of the load, and important
 * calls that arrive behind a full queue of less important ones.  In a single
 * FIFO the team that sends most is served most, and an appeal order waits
 * behind lookups.  Under lasting overload a FIFO serves every call just before
 * its deadline, so that hardly any is finished in time.
 *
 * Importance is strict: a less important call is served only when no more
 * important one waits.  Within one importance, teams share by start-time fair
 * queueing: each call served advances its team's start tag by 1/weight, and the
 * team with the lowest tag is next.  Deficit round robin gives the same shares
 * but needs a quantum, and weights are rates that differ by three orders of
 * magnitude: a small team would wait for thousands of rounds.  A team keeps its
 * tag after its last call has left the queue.  Otherwise a team that always has
 * one waiting call would be first at each arrival and receive far more than its
 * share.
 *
 * Within a team and importance the oldest call is served first.  While the
 * owner detects a standing queue, the newest is served first, because it has
 * the most time left.
 *
 * Nested calls, which have no team, belong to requests that were admitted
 * before, and refusing one wastes all work done for its request.  They are
 * served oldest first, up to the bound of a queue that is not a standing one.
 * Their number must be limited where requests are admitted.
 *
 * A full queue displaces a call of the lowest waiting importance, from the team
 * with the largest backlog relative to its weight, and there the call that
 * would be served last.  An important call that arrives late thus always gets
 * in, and a team that floods the queue displaces its own calls.
 *
 * Teams are kept in a table of fixed size, since an executor must not allocate
 * memory for every team name it sees.  The table has more entries than calls
 * may wait, so a waiting team always has one; entries of idle teams are reused,
 * the longest idle first.
 */

#include <string.h>
#include <talloc.h>

#include "loom/queue.h"

/* Idle teams whose start tags are kept: more than the number of teams that
 * share one upstream in an ordinary fleet. */
#define IDLE_TEAMS 64
/* Minimum capacity, so that a later manifest may raise the bound.  It takes 300
 * KB for one upstream. */
#define CAPACITY_MIN 1024
#define BUCKETS 128 /* power of two */

struct loom_team_level {
	struct loom_admission_call *oldest;
	struct loom_admission_call *newest;
	uint32_t length;
	double start_tag; /* virtual start time of the next call */
	struct loom_queue_team *next; /* of the teams waiting here */
	struct loom_queue_team *prev;
};

struct loom_queue_team {
	uint64_t id;
	double weight;
	uint32_t length; /* over all levels */
	struct loom_queue_team *bucket_next; /* next team in the hash bucket */
	struct loom_queue_team *idle_next;
	struct loom_queue_team *idle_prev;
	struct loom_team_level levels[LOOM_IMPORTANCE_COUNT];
};

/* One importance over all teams. */
struct importance_level {
	struct loom_queue_team *teams; /* with calls waiting here */
	uint32_t length;
	double weight; /* sum over these teams */
	double virtual_time; /* start_tag of the call served last */
	/* More important calls served since one of this level was. */
	uint32_t overtaken;
};

struct loom_queue {
	struct loom_queue_team *buckets[BUCKETS];
	struct loom_queue_team *idle_oldest;
	struct loom_queue_team *idle_newest;
	struct importance_level levels[LOOM_IMPORTANCE_COUNT];
	uint32_t bound;
	uint32_t nested_bound; /* while the lowest level is all nested calls */
	uint32_t critical_bound; /* while only critical calls wait */
	uint32_t capacity; /* what memory was allocated for */
	uint32_t length;
	int newest_first_from; /* first level that is served newest first */
};

void
loom_verdicts_init(struct loom_verdicts *verdicts)
{
	verdicts->admitted = NULL;
	verdicts->refused = NULL;
	verdicts->admitted_tail = &verdicts->admitted;
	verdicts->refused_tail = &verdicts->refused;
}

void
loom_verdicts_admit(
    struct loom_verdicts *verdicts, struct loom_admission_call *call)
{
	call->next = NULL;
	*verdicts->admitted_tail = call;
	verdicts->admitted_tail = &call->next;
}

void
loom_verdicts_refuse(
    struct loom_verdicts *verdicts, struct loom_admission_call *call)
{
	call->next = NULL;
	*verdicts->refused_tail = call;
	verdicts->refused_tail = &call->next;
}

static void
idle_append(struct loom_queue *queue, struct loom_queue_team *team)
{
	team->idle_next = NULL;
	team->idle_prev = queue->idle_newest;
	if (queue->idle_newest != NULL)
		queue->idle_newest->idle_next = team;
	else
		queue->idle_oldest = team;
	queue->idle_newest = team;
}

static void
idle_remove(struct loom_queue *queue, struct loom_queue_team *team)
{
	if (team->idle_prev != NULL)
		team->idle_prev->idle_next = team->idle_next;
	else
		queue->idle_oldest = team->idle_next;
	if (team->idle_next != NULL)
		team->idle_next->idle_prev = team->idle_prev;
	else
		queue->idle_newest = team->idle_prev;
}

static struct loom_queue_team **
bucket_of(struct loom_queue *queue, uint64_t id)
{
	return &queue->buckets[(id ^ id >> 32) & (BUCKETS - 1)];
}

static void
bucket_add(struct loom_queue *queue, struct loom_queue_team *team)
{
	struct loom_queue_team **bucket = bucket_of(queue, team->id);

	team->bucket_next = *bucket;
	*bucket = team;
}

static void
bucket_remove(struct loom_queue *queue, const struct loom_queue_team *team)
{
	struct loom_queue_team **link = bucket_of(queue, team->id);

	while (*link != team)
		link = &(*link)->bucket_next;
	*link = team->bucket_next;
}

static struct loom_queue_team *
find_team(const struct loom_queue *queue, uint64_t id)
{
	struct loom_queue_team *team;

	team = queue->buckets[(id ^ id >> 32) & (BUCKETS - 1)];
	while (team != NULL && team->id != id)
		team = team->bucket_next;
	return team;
}

static uint32_t
clamp_bound(const struct loom_queue *queue, uint32_t bound)
{
	if (bound == 0)
		return 1;
	return bound < queue->capacity ? bound : queue->capacity;
}

void
loom_queue_set_bounds(struct loom_queue *queue, uint32_t bound,
    uint32_t critical_bound, uint32_t nested_bound)
{
	queue->nested_bound = clamp_bound(queue, nested_bound);
	queue->bound = clamp_bound(queue, bound);
	queue->critical_bound = clamp_bound(queue, critical_bound);
}

/*
 * With the bound of a smaller host, the queue would be short in relation to the
 * slots and refuse nested calls: some twenty calls that arrive together would
 * fill it, although it would be empty again within a fraction of a service
 * time.
 */
uint32_t
loom_queue_bound_for_host(
    uint32_t service_queue, uint32_t service_slots, uint32_t host_slots)
{
	uint64_t bound;

	if (service_slots == 0 || host_slots == 0)
		return service_queue;
	bound = (uint64_t)service_queue * host_slots / service_slots;
	return bound < UINT32_MAX ? (uint32_t)bound : UINT32_MAX;
}

struct loom_queue *
loom_queue_new(void *ctx, uint32_t bound)
{
	struct loom_queue *queue = talloc_zero(ctx, struct loom_queue);
	struct loom_queue_team *teams;
	uint32_t i, nteams;

	queue->capacity = bound > CAPACITY_MIN ? bound : CAPACITY_MIN;
	queue->newest_first_from = LOOM_IMPORTANCE_COUNT;
	loom_queue_set_bounds(queue, bound, bound, bound);
	/* One more than may wait: a call is inserted before another one is
	 * displaced. */
	nteams = queue->capacity + 1 + IDLE_TEAMS;
	teams = talloc_zero_array(queue, struct loom_queue_team, nteams);
	for (i = 0; i < nteams; i++) {
		teams[i].id = i;
		bucket_add(queue, &teams[i]);
		idle_append(queue, &teams[i]);
	}
	return queue;
}

uint32_t
loom_queue_length(const struct loom_queue *queue)
{
	return queue->length;
}

uint32_t
loom_queue_length_from(
    const struct loom_queue *queue, enum loom_importance importance)
{
	uint32_t length = 0;
	int i;

	for (i = 0; i <= (int)importance; i++)
		length += queue->levels[i].length;
	return length;
}

void
loom_queue_set_newest_first(
    struct loom_queue *queue, enum loom_importance from, bool newest_first)
{
	queue->newest_first_from =
	    newest_first ? (int)from : LOOM_IMPORTANCE_COUNT;
}

static bool
is_nested(const struct loom_queue_team *team)
{
	return team->id == LOOM_QUEUE_NO_TEAM;
}

static bool
is_newest_first(const struct loom_queue *queue,
    const struct loom_queue_team *team, int importance)
{
	return importance >= queue->newest_first_from && !is_nested(team);
}

static struct loom_queue_team *
reuse_idle(struct loom_queue *queue, uint64_t id)
{
	struct loom_queue_team *team = queue->idle_oldest;

	idle_remove(queue, team);
	bucket_remove(queue, team);
	memset(team, 0, sizeof(*team));
	team->id = id;
	bucket_add(queue, team);
	idle_append(queue, team);
	return team;
}

static double
weight_of(uint32_t team_weight)
{
	return team_weight > 0 ? (double)team_weight : 1.0;
}

static void
join_level(struct loom_queue *queue, struct loom_queue_team *team,
    enum loom_importance importance)
{
	struct importance_level *level = &queue->levels[importance];
	struct loom_team_level *team_level = &team->levels[importance];

	team_level->prev = NULL;
	team_level->next = level->teams;
	if (level->teams != NULL)
		level->teams->levels[importance].prev = team;
	else
		level->overtaken = 0;
	level->teams = team;
	level->weight += team->weight;
	if (team_level->start_tag < level->virtual_time)
		team_level->start_tag = level->virtual_time;
}

static void
leave_level(struct loom_queue *queue, struct loom_queue_team *team,
    enum loom_importance importance)
{
	struct importance_level *level = &queue->levels[importance];
	struct loom_team_level *team_level = &team->levels[importance];

	if (team_level->prev != NULL)
		team_level->prev->levels[importance].next = team_level->next;
	else
		level->teams = team_level->next;
	if (team_level->next != NULL)
		team_level->next->levels[importance].prev = team_level->prev;
	level->weight -= team->weight;
	if (level->teams == NULL)
		level->weight = 0;
}

static void
append_call(
    struct loom_team_level *team_level, struct loom_admission_call *call)
{
	call->next = NULL;
	call->prev = team_level->newest;
	if (team_level->newest != NULL)
		team_level->newest->next = call;
	else
		team_level->oldest = call;
	team_level->newest = call;
	team_level->length++;
}

static void
unlink_call(
    struct loom_team_level *team_level, struct loom_admission_call *call)
{
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		team_level->oldest = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	else
		team_level->newest = call->prev;
	team_level->length--;
	call->next = NULL;
	call->prev = NULL;
}

static void
insert(struct loom_queue *queue, struct loom_admission_call *call)
{
	struct loom_queue_team *team = find_team(queue, call->team_id);

	if (team == NULL)
		team = reuse_idle(queue, call->team_id);
	if (team->length == 0) {
		idle_remove(queue, team);
		team->weight = weight_of(call->team_weight);
	}
	if (team->levels[call->importance].length == 0)
		join_level(queue, team, call->importance);
	append_call(&team->levels[call->importance], call);
	call->team = team;
	team->length++;
	queue->levels[call->importance].length++;
	queue->length++;
}

void
loom_queue_remove(struct loom_queue *queue, struct loom_admission_call *call)
{
	struct loom_queue_team *team = call->team;

	unlink_call(&team->levels[call->importance], call);
	if (team->levels[call->importance].length == 0)
		leave_level(queue, team, call->importance);
	team->length--;
	if (team->length == 0)
		idle_append(queue, team);
	queue->levels[call->importance].length--;
	queue->length--;
	call->team = NULL;
}

/*
 * The team with the largest backlog relative to its weight, not counting its
 * first call.  If that call counted, the only call of a small team would
 * outweigh a dozen of a large one, and a team entitled to one call in fifty
 * could never have one waiting.  Nested calls are chosen only where no others
 * wait.
 */
static struct loom_queue_team *
largest_backlog_team(
    const struct loom_queue *queue, enum loom_importance importance)
{
	struct loom_queue_team *team, *largest = NULL, *nested = NULL;
	double backlog, largest_backlog = -1;

	team = queue->levels[importance].teams;
	for (; team != NULL; team = team->levels[importance].next) {
		if (is_nested(team)) {
			nested = team;
			continue;
		}
		backlog = (team->levels[importance].length - 1) / team->weight;
		if (backlog > largest_backlog) {
			largest_backlog = backlog;
			largest = team;
		}
	}
	return largest != NULL ? largest : nested;
}

static struct loom_admission_call *
lowest_priority_call(const struct loom_queue *queue)
{
	int importance = LOOM_IMPORTANCE_COUNT - 1;
	struct loom_queue_team *team;

	while (queue->levels[importance].length == 0)
		importance--;
	team = largest_backlog_team(queue, (enum loom_importance)importance);
	if (is_newest_first(queue, team, importance))
		return team->levels[importance].oldest;
	return team->levels[importance].newest;
}

/*
 * Removes the lowest-priority call while too many wait.  The short bound of a
 * standing queue is meant for calls that would wait in vain, whereas critical
 * calls wait only for each other.  With the short bound, at least 5% of the
 * critical calls were refused at four hosts of two slots, with half of the time
 * to their deadlines left.
 */
struct loom_admission_call *
loom_queue_trim(struct loom_queue *queue)
{
	struct loom_admission_call *call;

	if (queue->length <= queue->bound)
		return NULL;
	call = lowest_priority_call(queue);
	if (call->importance == LOOM_CRITICAL &&
	    queue->length <= queue->critical_bound)
		return NULL;
	if (is_nested(call->team) && queue->length <= queue->nested_bound)
		return NULL;
	loom_queue_remove(queue, call);
	return call;
}

struct loom_admission_call *
loom_queue_push(
    struct loom_queue *queue, struct loom_admission_call *call, uint64_t now_us)
{
	call->arrived_us = now_us;
	insert(queue, call);
	return loom_queue_trim(queue);
}

/* The team with the lowest start tag; among equal ones, the one that joined the
 * level last. */
static struct loom_queue_team *
next_team(const struct loom_queue *queue, int importance)
{
	struct loom_queue_team *team, *first;

	first = queue->levels[importance].teams;
	for (team = first; team != NULL; team = team->levels[importance].next) {
		if (team->levels[importance].start_tag <
		    first->levels[importance].start_tag)
			first = team;
	}
	return first;
}

static void
count_overtaken(struct loom_queue *queue, int importance)
{
	queue->levels[importance].overtaken = 0;
	while (++importance < LOOM_IMPORTANCE_COUNT)
		queue->levels[importance].overtaken++;
}

static struct loom_admission_call *
first_to_serve(const struct loom_queue *queue,
    const struct loom_queue_team *team, int importance)
{
	const struct loom_team_level *team_level = &team->levels[importance];

	if (is_newest_first(queue, team, importance))
		return team_level->newest;
	return team_level->oldest;
}

static struct loom_admission_call *
next_to_serve(const struct loom_queue *queue,
    const struct loom_admission_call *call, int importance)
{
	if (is_newest_first(queue, call->team, importance))
		return call->prev;
	return call->next;
}

struct loom_admission_call *
loom_queue_pop(struct loom_queue *queue)
{
	struct loom_team_level *team_level;
	struct loom_queue_team *team;
	struct loom_admission_call *call;
	int importance = 0;

	if (queue->length == 0)
		return NULL;
	while (queue->levels[importance].length == 0)
		importance++;
	team = next_team(queue, importance);
	team_level = &team->levels[importance];
	queue->levels[importance].virtual_time = team_level->start_tag;
	count_overtaken(queue, importance);
	team_level->start_tag += 1.0 / team->weight;
	call = first_to_serve(queue, team, importance);
	loom_queue_remove(queue, call);
	return call;
}

uint32_t
loom_queue_calls_ahead(const struct loom_queue *queue, uint64_t team_id,
    uint32_t team_weight, enum loom_importance importance)
{
	const struct importance_level *level = &queue->levels[importance];
	const struct loom_queue_team *team = find_team(queue, team_id);
	double weight = weight_of(team_weight);
	double own_calls = 0, others, turns;
	uint32_t ahead = 0;
	int i;

	for (i = 0; i < (int)importance; i++)
		ahead += queue->levels[i].length;
	if (team != NULL && !is_newest_first(queue, team, (int)importance))
		own_calls = team->levels[importance].length;
	/* While this team is served own_calls + 1 times, the others are served
	 * in proportion to their weights, but no more often than they have
	 * calls. */
	others = level->length - own_calls;
	turns = (own_calls + 1) * level->weight / weight;
	if (turns < others)
		others = turns;
	return ahead + (uint32_t)(own_calls + others);
}

uint32_t
loom_queue_overtaken(
    const struct loom_queue *queue, enum loom_importance importance)
{
	return queue->levels[importance].overtaken;
}

/* Number of a team's calls at one level that are served before start_tag. */
static double
turns_before_tag(
    const struct loom_team_level *team_level, double weight, double start_tag)
{
	double turns = (start_tag - team_level->start_tag) * weight;

	if (turns <= 0)
		return 0;
	return turns < team_level->length ? turns : team_level->length;
}

/* Number of calls served before the team's call that has own_calls_ahead of the
 * team's own calls before it, according to the current start tags. */
static uint32_t
turns_ahead(const struct loom_queue *queue, const struct loom_queue_team *team,
    int importance, uint32_t own_calls_ahead)
{
	const struct loom_queue_team *other;
	double start_tag, ahead = own_calls_ahead;
	int i;

	for (i = 0; i < importance; i++)
		ahead += queue->levels[i].length;
	start_tag =
	    team->levels[importance].start_tag + own_calls_ahead / team->weight;
	other = queue->levels[importance].teams;
	for (; other != NULL; other = other->levels[importance].next) {
		if (other != team)
			ahead += turns_before_tag(&other->levels[importance],
			    other->weight, start_tag);
	}
	return (uint32_t)ahead;
}

/* Visits the calls in the order in which they will be served, so that the calls
 * ahead do not include those that were just dropped. */
static void
sweep_team_level(struct loom_queue *queue, struct loom_queue_team *team,
    int importance, const struct loom_queue_sweep_ops *ops, void *arg)
{
	struct loom_admission_call *call, *next;
	uint32_t own_calls_ahead = 0, ahead;

	call = first_to_serve(queue, team, importance);
	for (; call != NULL; call = next) {
		next = next_to_serve(queue, call, importance);
		ahead = 0;
		if (ops->needs_calls_ahead(call, arg))
			ahead = turns_ahead(
			    queue, team, importance, own_calls_ahead);
		if (ops->should_drop(call, ahead, arg)) {
			loom_queue_remove(queue, call);
			ops->drop(call, arg);
		} else {
			own_calls_ahead++;
		}
	}
}

void
loom_queue_sweep(
    struct loom_queue *queue, const struct loom_queue_sweep_ops *ops, void *arg)
{
	struct loom_queue_team *team, *next;
	int i;

	for (i = 0; i < LOOM_IMPORTANCE_COUNT; i++) {
		for (team = queue->levels[i].teams; team != NULL; team = next) {
			next = team->levels[i].next;
			sweep_team_level(queue, team, i, ops, arg);
		}
	}
}
