/*
 * Calls that wait for one upstream.
 *
 * Answers: a burst; one team that sends most of the load; important work that
 * comes late, behind a full queue of lesser work.  With one FIFO the team that
 * sends most gets most, an appeal order waits behind lookups, and under
 * standing overload every call is served just before its deadline, so that
 * nothing is done in time.
 *
 * Importance is strict: lesser work moves only when no more important call
 * waits.  Within one importance teams share by start-time fair queueing: each
 * call served moves its team's tag on by 1/weight, and the lowest tag is next.
 * Deficit round robin shares alike, but needs a size of turn, and weights are
 * rates that lie three orders of magnitude apart: a small team would wait for
 * thousands of rounds.  Tags outlive a team's stay in the queue, or a team
 * that keeps one call waiting at a time would be first at each arrival and
 * take far more than its share.
 *
 * Within a team and importance the oldest goes first, and the newest once the
 * owner says that the delay stands: that one still has time.
 *
 * Calls without a team belong to requests that were let in before, and each
 * that is refused wastes all work done for its request.  They are served oldest
 * first, up to the bound of a queue at ease: what lets requests in has to bring
 * their number down.
 *
 * A full queue displaces from the least important level, from the team that
 * has most waiting for its weight, the call that would be served last.  So a
 * late important call always gets in, and a flood displaces its own.
 *
 * Teams live in a fixed table: an executor must not take memory for each name
 * that passes.  There are more places than calls may wait, so a team that
 * waits always has one; idle ones are reused in the order they fell idle.
 */

#include <string.h>
#include <talloc.h>

#include "loom/queue.h"

/* Idle teams whose tags are kept besides those that wait: more teams than
 * share one upstream in an ordinary fleet. */
#define IDLE_TEAMS 64
/* Places taken at least, so that a later manifest may raise the bound: 300 KB
 * for one upstream. */
#define ROOM_MIN 1024
#define BUCKETS 128 /* power of two */

struct loom_queue_level {
	struct loom_waiting *oldest;
	struct loom_waiting *newest;
	uint32_t length;
	double tag; /* virtual start time of the next call */
	struct loom_queue_team *next; /* teams that wait at this level */
	struct loom_queue_team *prev;
};

struct loom_queue_team {
	uint64_t id;
	double weight;
	uint32_t length; /* over all levels */
	struct loom_queue_team *chain; /* next in the bucket */
	struct loom_queue_team *idle_next;
	struct loom_queue_team *idle_prev;
	struct loom_queue_level levels[LOOM_IMPORTANCES];
};

/* One importance over all teams. */
struct importance_level {
	struct loom_queue_team *teams; /* that wait here */
	uint32_t length;
	double weight; /* of those teams together */
	double now; /* virtual time: tag of the call served last */
	uint32_t passed; /* more important ones served since one of this */
};

struct loom_queue {
	struct loom_queue_team *buckets[BUCKETS];
	struct loom_queue_team *idle_oldest;
	struct loom_queue_team *idle_newest;
	struct importance_level levels[LOOM_IMPORTANCES];
	uint32_t bound;
	uint32_t inside_bound; /* where the last calls are without a team */
	uint32_t critical_bound; /* for as long as nothing lesser waits */
	uint32_t bound_max; /* what memory was taken for */
	uint32_t length;
	int newest_from; /* importances from here on: newest first */
};

void
loom_moved_init(struct loom_moved *moved)
{
	moved->go = NULL;
	moved->refused = NULL;
	moved->go_tail = &moved->go;
	moved->refused_tail = &moved->refused;
}

void
loom_moved_go(struct loom_moved *moved, struct loom_waiting *w)
{
	w->next = NULL;
	*moved->go_tail = w;
	moved->go_tail = &w->next;
}

void
loom_moved_refuse(struct loom_moved *moved, struct loom_waiting *w)
{
	w->next = NULL;
	*moved->refused_tail = w;
	moved->refused_tail = &w->next;
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

	team->chain = *bucket;
	*bucket = team;
}

static void
bucket_remove(struct loom_queue *queue, const struct loom_queue_team *team)
{
	struct loom_queue_team **link = bucket_of(queue, team->id);

	while (*link != team)
		link = &(*link)->chain;
	*link = team->chain;
}

static struct loom_queue_team *
find_team(const struct loom_queue *queue, uint64_t id)
{
	struct loom_queue_team *team;

	team = queue->buckets[(id ^ id >> 32) & (BUCKETS - 1)];
	while (team != NULL && team->id != id)
		team = team->chain;
	return team;
}

static uint32_t
clamp_bound(const struct loom_queue *queue, uint32_t bound)
{
	if (bound == 0)
		return 1;
	return bound < queue->bound_max ? bound : queue->bound_max;
}

void
loom_queue_set_bounds(struct loom_queue *queue, uint32_t bound,
    uint32_t critical_bound, uint32_t inside_bound)
{
	queue->inside_bound = clamp_bound(queue, inside_bound);
	queue->bound = clamp_bound(queue, bound);
	queue->critical_bound = clamp_bound(queue, critical_bound);
}

/*
 * A queue that is short beside the slots refuses calls of requests that were
 * let in: some twenty calls that come together fill it, though it would be
 * empty again within a fraction of a service time.
 */
uint32_t
loom_queue_bound_of(
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

	queue->bound_max = bound > ROOM_MIN ? bound : ROOM_MIN;
	queue->newest_from = LOOM_IMPORTANCES;
	loom_queue_set_bounds(queue, bound, bound, bound);
	/* One more than may wait: the call that overflows is in as well. */
	nteams = queue->bound_max + 1 + IDLE_TEAMS;
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
	queue->newest_from = newest_first ? (int)from : LOOM_IMPORTANCES;
}

static bool
is_inside(const struct loom_queue_team *team)
{
	return team->id == LOOM_QUEUE_NO_TEAM;
}

static bool
is_newest_first(const struct loom_queue *queue,
    const struct loom_queue_team *team, int importance)
{
	return importance >= queue->newest_from && !is_inside(team);
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
	struct loom_queue_level *own = &team->levels[importance];

	own->prev = NULL;
	own->next = level->teams;
	if (level->teams != NULL)
		level->teams->levels[importance].prev = team;
	else
		level->passed = 0;
	level->teams = team;
	level->weight += team->weight;
	if (own->tag < level->now)
		own->tag = level->now;
}

static void
leave_level(struct loom_queue *queue, struct loom_queue_team *team,
    enum loom_importance importance)
{
	struct importance_level *level = &queue->levels[importance];
	struct loom_queue_level *own = &team->levels[importance];

	if (own->prev != NULL)
		own->prev->levels[importance].next = own->next;
	else
		level->teams = own->next;
	if (own->next != NULL)
		own->next->levels[importance].prev = own->prev;
	level->weight -= team->weight;
	if (level->teams == NULL)
		level->weight = 0;
}

static void
append_call(struct loom_queue_level *own, struct loom_waiting *w)
{
	w->next = NULL;
	w->prev = own->newest;
	if (own->newest != NULL)
		own->newest->next = w;
	else
		own->oldest = w;
	own->newest = w;
	own->length++;
}

static void
unlink_call(struct loom_queue_level *own, struct loom_waiting *w)
{
	if (w->prev != NULL)
		w->prev->next = w->next;
	else
		own->oldest = w->next;
	if (w->next != NULL)
		w->next->prev = w->prev;
	else
		own->newest = w->prev;
	own->length--;
	w->next = NULL;
	w->prev = NULL;
}

static void
insert(struct loom_queue *queue, struct loom_waiting *w)
{
	struct loom_queue_team *team = find_team(queue, w->team_id);

	if (team == NULL)
		team = reuse_idle(queue, w->team_id);
	if (team->length == 0) {
		idle_remove(queue, team);
		team->weight = weight_of(w->team_weight);
	}
	if (team->levels[w->importance].length == 0)
		join_level(queue, team, w->importance);
	append_call(&team->levels[w->importance], w);
	w->team = team;
	team->length++;
	queue->levels[w->importance].length++;
	queue->length++;
}

void
loom_queue_remove(struct loom_queue *queue, struct loom_waiting *w)
{
	struct loom_queue_team *team = w->team;

	unlink_call(&team->levels[w->importance], w);
	if (team->levels[w->importance].length == 0)
		leave_level(queue, team, w->importance);
	team->length--;
	if (team->length == 0)
		idle_append(queue, team);
	queue->levels[w->importance].length--;
	queue->length--;
	w->team = NULL;
}

/*
 * The team that has most waiting for its weight, its first call not counted:
 * else the one call of a small team would outweigh a dozen of a large one,
 * and whoever may have one call in fifty would never have one waiting.  Calls
 * inside requests only where no others wait.
 */
static struct loom_queue_team *
longest_team(const struct loom_queue *queue, enum loom_importance importance)
{
	struct loom_queue_team *team, *longest = NULL, *inside = NULL;
	double length, most = -1;

	team = queue->levels[importance].teams;
	for (; team != NULL; team = team->levels[importance].next) {
		if (is_inside(team)) {
			inside = team;
			continue;
		}
		length = (team->levels[importance].length - 1) / team->weight;
		if (length > most) {
			most = length;
			longest = team;
		}
	}
	return longest != NULL ? longest : inside;
}

static struct loom_waiting *
least_valuable(const struct loom_queue *queue)
{
	int importance = LOOM_IMPORTANCES - 1;
	struct loom_queue_team *team;

	while (queue->levels[importance].length == 0)
		importance--;
	team = longest_team(queue, (enum loom_importance)importance);
	if (is_newest_first(queue, team, importance))
		return team->levels[importance].oldest;
	return team->levels[importance].newest;
}

/*
 * Out of the queue with the least valuable call while too many wait.  The
 * bound that standing delay makes short is for calls that would wait in vain;
 * critical ones wait for each other alone.  Held to the short bound, 5% and
 * more of them were refused at four hosts of two slots, with half of their
 * deadline's time to spare.
 */
struct loom_waiting *
loom_queue_trim(struct loom_queue *queue)
{
	struct loom_waiting *w;

	if (queue->length <= queue->bound)
		return NULL;
	w = least_valuable(queue);
	if (w->importance == LOOM_CRITICAL &&
	    queue->length <= queue->critical_bound)
		return NULL;
	if (is_inside(w->team) && queue->length <= queue->inside_bound)
		return NULL;
	loom_queue_remove(queue, w);
	return w;
}

struct loom_waiting *
loom_queue_push(
    struct loom_queue *queue, struct loom_waiting *w, uint64_t now_us)
{
	w->arrived_us = now_us;
	insert(queue, w);
	return loom_queue_trim(queue);
}

/* The team with the lowest tag; of equal ones the one that joined last. */
static struct loom_queue_team *
next_team(const struct loom_queue *queue, int importance)
{
	struct loom_queue_team *team, *first;

	first = queue->levels[importance].teams;
	for (team = first; team != NULL; team = team->levels[importance].next) {
		if (team->levels[importance].tag <
		    first->levels[importance].tag)
			first = team;
	}
	return first;
}

static void
count_passed(struct loom_queue *queue, int importance)
{
	queue->levels[importance].passed = 0;
	while (++importance < LOOM_IMPORTANCES)
		queue->levels[importance].passed++;
}

static struct loom_waiting *
first_served(const struct loom_queue *queue, const struct loom_queue_team *team,
    int importance)
{
	const struct loom_queue_level *own = &team->levels[importance];

	if (is_newest_first(queue, team, importance))
		return own->newest;
	return own->oldest;
}

static struct loom_waiting *
served_after(const struct loom_queue *queue, const struct loom_waiting *w,
    int importance)
{
	if (is_newest_first(queue, w->team, importance))
		return w->prev;
	return w->next;
}

struct loom_waiting *
loom_queue_pop(struct loom_queue *queue)
{
	struct loom_queue_level *own;
	struct loom_queue_team *team;
	struct loom_waiting *w;
	int importance = 0;

	if (queue->length == 0)
		return NULL;
	while (queue->levels[importance].length == 0)
		importance++;
	team = next_team(queue, importance);
	own = &team->levels[importance];
	queue->levels[importance].now = own->tag;
	count_passed(queue, importance);
	own->tag += 1.0 / team->weight;
	w = first_served(queue, team, importance);
	loom_queue_remove(queue, w);
	return w;
}

uint32_t
loom_queue_ahead(const struct loom_queue *queue, uint64_t team_id,
    uint32_t team_weight, enum loom_importance importance)
{
	const struct importance_level *level = &queue->levels[importance];
	const struct loom_queue_team *team = find_team(queue, team_id);
	double weight = weight_of(team_weight);
	double own = 0, others, turns;
	uint32_t ahead = 0;
	int i;

	for (i = 0; i < (int)importance; i++)
		ahead += queue->levels[i].length;
	if (team != NULL && !is_newest_first(queue, team, (int)importance))
		own = team->levels[importance].length;
	/* While this team has own + 1 turns the others have theirs by weight,
	 * but no more than they have calls. */
	others = level->length - own;
	turns = (own + 1) * level->weight / weight;
	if (turns < others)
		others = turns;
	return ahead + (uint32_t)(own + others);
}

uint32_t
loom_queue_passed(
    const struct loom_queue *queue, enum loom_importance importance)
{
	return queue->levels[importance].passed;
}

/* Calls of a team at one importance whose turn comes before a tag. */
static double
turns_before(const struct loom_queue_level *own, double weight, double tag)
{
	double turns = (tag - own->tag) * weight;

	if (turns <= 0)
		return 0;
	return turns < own->length ? turns : own->length;
}

/* How many turns come before the team's call that stands behind `own_ahead`
 * others of its own, by the tags as they are. */
static uint32_t
turns_ahead(const struct loom_queue *queue, const struct loom_queue_team *team,
    int importance, uint32_t own_ahead)
{
	const struct loom_queue_team *other;
	double tag, ahead = own_ahead;
	int i;

	for (i = 0; i < importance; i++)
		ahead += queue->levels[i].length;
	tag = team->levels[importance].tag + own_ahead / team->weight;
	other = queue->levels[importance].teams;
	for (; other != NULL; other = other->levels[importance].next) {
		if (other != team)
			ahead += turns_before(
			    &other->levels[importance], other->weight, tag);
	}
	return (uint32_t)ahead;
}

/* In the order in which they will be served, so that those who leave are no
 * longer ahead of the rest. */
static void
sweep_team(struct loom_queue *queue, struct loom_queue_team *team,
    int importance, const struct loom_queue_sweep_ops *ops, void *arg)
{
	struct loom_waiting *w, *next;
	uint32_t own_ahead = 0, ahead;

	w = first_served(queue, team, importance);
	for (; w != NULL; w = next) {
		next = served_after(queue, w, importance);
		ahead = 0;
		if (ops->needs_ahead(w, arg))
			ahead = turns_ahead(queue, team, importance, own_ahead);
		if (ops->gone(w, ahead, arg)) {
			loom_queue_remove(queue, w);
			ops->drop(w, arg);
		} else {
			own_ahead++;
		}
	}
}

void
loom_queue_sweep(
    struct loom_queue *queue, const struct loom_queue_sweep_ops *ops, void *arg)
{
	struct loom_queue_team *team, *next;
	int i;

	for (i = 0; i < LOOM_IMPORTANCES; i++) {
		for (team = queue->levels[i].teams; team != NULL; team = next) {
			next = team->levels[i].next;
			sweep_team(queue, team, i, ops, arg);
		}
	}
}
