/*
 * Asking a request's home for one retry.
 *
 * Nothing here needs a message to arrive: a question or an answer that is
 * lost means no retry, and a grant that comes too late is wasted.  So the
 * home's count is the most that all daemons together can repeat.
 */

#include "control/retry_internal.h"
#include "inner/codec_retry.h"

#define TICK_US 5000

/* With no question out, ticks only sweep budgets that are over. */
#define IDLE_TICK_US 100000
#define SWEEP_US UINT64_C(1000000)
#define DEFAULT_BUDGET 2
#define DEFAULT_RATIO 0.1

static int
destroy(struct loom_retry *retry)
{
	unsigned i;

	retry_home_clear(retry);
	for (i = 0; i < RETRY_SHARDS; i++) {
		g_hash_table_destroy(retry->asks[i].asks);
		g_mutex_clear(&retry->asks[i].lock);
		g_hash_table_destroy(retry->services[i].services);
		g_mutex_clear(&retry->services[i].lock);
	}
	return 0;
}

struct loom_retry *
loom_retry_new(TALLOC_CTX *ctx, const struct loom_self *self,
    const struct loom_sender *sender, const struct loom_random *random,
    void (*wake)(void *arg), void *wake_arg)
{
	struct loom_retry *retry = talloc_zero(ctx, struct loom_retry);
	unsigned i;

	retry->self = *self;
	retry->sender = *sender;
	retry->random = *random;
	retry->wake = wake;
	retry->wake_arg = wake_arg;
	atomic_store(&retry->budget, DEFAULT_BUDGET);
	atomic_store(&retry->ratio, DEFAULT_RATIO);
	retry_home_init(retry);
	for (i = 0; i < RETRY_SHARDS; i++) {
		g_mutex_init(&retry->asks[i].lock);
		retry->asks[i].asks =
		    g_hash_table_new(g_int64_hash, g_int64_equal);
		g_mutex_init(&retry->services[i].lock);
		retry->services[i].services = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
	}
	retry->granted = loom_counter("loom_retries_total",
	    "verdict=\"granted\"", "Questions for one retry.");
	retry->refused = loom_counter("loom_retries_total",
	    "verdict=\"refused\"", "Questions for one retry.");
	retry->unanswered = loom_counter("loom_retries_total",
	    "verdict=\"unanswered\"", "Questions for one retry.");
	talloc_set_destructor(retry, destroy);
	return retry;
}

static struct retry_service_shard *
services_of(struct loom_retry *retry, uint64_t service_id)
{
	return &retry->services[service_id % RETRY_SHARDS];
}

/* The shard is locked. */
static struct loom_retry_credit *
credit_of(
    struct retry_service_shard *shard, uint64_t service_id, uint64_t now_us)
{
	struct retry_service *service;

	service = g_hash_table_lookup(shard->services, &service_id);
	if (service == NULL) {
		service = g_new0(struct retry_service, 1);
		service->id = service_id;
		service->credit =
		    (struct loom_retry_credit){ .credit = 1, .at_us = now_us };
		g_hash_table_insert(shard->services, &service->id, service);
	}
	return &service->credit;
}

void
loom_retry_first_attempt(
    struct loom_retry *retry, uint64_t service_id, uint64_t now_us)
{
	struct retry_service_shard *shard = services_of(retry, service_id);

	g_mutex_lock(&shard->lock);
	loom_retry_credit_first(credit_of(shard, service_id, now_us),
	    atomic_load(&retry->ratio), now_us);
	g_mutex_unlock(&shard->lock);
}

static bool
take_credit(struct loom_retry *retry, uint64_t service_id, uint64_t now_us)
{
	struct retry_service_shard *shard = services_of(retry, service_id);
	bool taken;

	g_mutex_lock(&shard->lock);
	taken = loom_retry_credit_take(
	    credit_of(shard, service_id, now_us), now_us);
	g_mutex_unlock(&shard->lock);
	return taken;
}

static void
return_credit(struct loom_retry *retry, uint64_t service_id, uint64_t now_us)
{
	struct retry_service_shard *shard = services_of(retry, service_id);

	g_mutex_lock(&shard->lock);
	loom_retry_credit_return(credit_of(shard, service_id, now_us));
	g_mutex_unlock(&shard->lock);
}

bool
loom_retry_ask(struct loom_retry *retry, const struct loom_retry_root *root,
    uint64_t service_id, uint64_t now_us, struct loom_retry_ask *ask)
{
	struct retry_ask_shard *shard;

	if (root->home_host_id == 0 ||
	    !take_credit(retry, service_id, now_us)) {
		loom_counter_add(retry->refused, 1);
		return false;
	}
	ask->next = NULL;
	ask->root = *root;
	ask->number = atomic_fetch_add(&retry->number, 1) + 1;
	ask->until_us = now_us + LOOM_RETRY_WAIT_US;
	ask->service_id = service_id;
	ask->sent = false;
	shard = &retry->asks[ask->number % RETRY_SHARDS];
	g_mutex_lock(&shard->lock);
	g_hash_table_insert(shard->asks, &ask->number, ask);
	g_mutex_unlock(&shard->lock);
	if (retry->wake != NULL)
		retry->wake(retry->wake_arg);
	return true;
}

bool
loom_retry_cancel(struct loom_retry *retry, struct loom_retry_ask *ask)
{
	struct retry_ask_shard *shard =
	    &retry->asks[ask->number % RETRY_SHARDS];
	bool found;

	g_mutex_lock(&shard->lock);
	found = g_hash_table_remove(shard->asks, &ask->number);
	g_mutex_unlock(&shard->lock);
	return found;
}

/* Control thread; no lock is held. */
static void
finish(struct loom_retry *retry, struct loom_retry_ask *ask, bool granted,
    uint64_t now_us)
{
	loom_counter_add(granted ? retry->granted : retry->refused, 1);
	if (!granted)
		return_credit(retry, ask->service_id, now_us);
	ask->done(ask, granted);
}

static bool
home_is_here(const struct loom_retry *retry, const struct loom_retry_root *root)
{
	return root->home_host_id == retry->self.host_id &&
	    root->home_incarnation == retry->self.incarnation;
}

static void
send_question(struct loom_retry *retry, const struct loom_retry_ask *ask)
{
	const struct loom_retry_question question = {
		.number = ask->number,
		.home_incarnation = ask->root.home_incarnation,
		.root_id = ask->root.id,
	};
	uint8_t buf[LOOM_RETRY_MESSAGE_MAX];
	size_t len;

	len = loom_retry_question_pack(&question, buf, sizeof(buf));
	retry->sender.send(retry->sender.arg, ask->root.home_host_id,
	    LOOM_RETRY_ASK, buf, len);
}

/* Send what is new; take out what is over or was asked of this daemon. */
static struct loom_retry_ask *
run_shard(
    struct loom_retry *retry, struct retry_ask_shard *shard, uint64_t now_us)
{
	struct loom_retry_ask *ask, *over = NULL;
	GHashTableIter iter;

	g_mutex_lock(&shard->lock);
	g_hash_table_iter_init(&iter, shard->asks);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&ask)) {
		if (now_us >= ask->until_us ||
		    home_is_here(retry, &ask->root)) {
			ask->next = over;
			over = ask;
			g_hash_table_iter_remove(&iter);
		} else if (!ask->sent) {
			ask->sent = true;
			send_question(retry, ask);
		}
	}
	g_mutex_unlock(&shard->lock);
	return over;
}

void
loom_retry_run(struct loom_retry *retry, uint64_t now_us)
{
	struct loom_retry_ask *ask, *next;
	bool granted;
	unsigned i;

	for (i = 0; i < RETRY_SHARDS; i++) {
		ask = run_shard(retry, &retry->asks[i], now_us);
		for (; ask != NULL; ask = next) {
			next = ask->next;
			granted = false;
			if (now_us < ask->until_us)
				granted = retry_home_grant(
				    retry, ask->root.id, now_us);
			else
				loom_counter_add(retry->unanswered, 1);
			finish(retry, ask, granted, now_us);
		}
	}
}

static void
heard_question(struct loom_retry *retry, const struct loom_from *from,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_retry_question question;
	struct loom_retry_answer answer;
	uint8_t buf[LOOM_RETRY_MESSAGE_MAX];

	if (!loom_retry_question_unpack(&question, payload, len))
		return;
	/* a restarted home has forgotten what it granted: it grants nothing
	 * for requests of its forerunner */
	answer = (struct loom_retry_answer){
		.number = question.number,
		.asker_incarnation = from->incarnation,
		.granted =
		    question.home_incarnation == retry->self.incarnation &&
		    retry_home_grant(retry, question.root_id, now_us),
	};
	len = loom_retry_answer_pack(&answer, buf, sizeof(buf));
	retry->sender.send(
	    retry->sender.arg, from->host_id, LOOM_RETRY_ANSWER, buf, len);
}

static void
heard_answer(struct loom_retry *retry, const struct loom_from *from,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_retry_answer answer;
	struct retry_ask_shard *shard;
	struct loom_retry_ask *ask;

	if (!loom_retry_answer_unpack(&answer, payload, len) ||
	    answer.asker_incarnation != retry->self.incarnation)
		return;
	shard = &retry->asks[answer.number % RETRY_SHARDS];
	g_mutex_lock(&shard->lock);
	ask = g_hash_table_lookup(shard->asks, &answer.number);
	if (ask != NULL && ask->root.home_host_id == from->host_id)
		g_hash_table_remove(shard->asks, &answer.number);
	else
		ask = NULL;
	g_mutex_unlock(&shard->lock);
	if (ask == NULL)
		return;
	/* a process that was stopped meanwhile finds the answer too old */
	finish(retry, ask, answer.granted && now_us < ask->until_us, now_us);
}

static void
message(void *part, const struct loom_from *from, uint8_t type,
    const uint8_t *payload, size_t len, uint64_t now_us)
{
	struct loom_retry *retry = part;

	if (type == LOOM_RETRY_ASK)
		heard_question(retry, from, payload, len, now_us);
	else if (type == LOOM_RETRY_ANSWER)
		heard_answer(retry, from, payload, len, now_us);
}

static void
tick(void *part, uint64_t now_us)
{
	struct loom_retry *retry = part;

	loom_retry_run(retry, now_us);
	if (now_us < retry->swept_us + SWEEP_US)
		return;
	retry->swept_us = now_us;
	retry_home_sweep(retry, now_us);
}

static void
manifest_changed(void *part, struct loom_manifest *manifest, uint64_t now_us)
{
	struct loom_retry *retry = part;

	(void)now_us;
	atomic_store(&retry->budget, manifest->fleet.retry_budget);
	atomic_store(&retry->ratio, manifest->fleet.retry_ratio);
}

/* Some question waits for its answer. */
static bool
busy(void *part)
{
	struct loom_retry *retry = part;
	bool waits = false;
	unsigned i;

	for (i = 0; i < RETRY_SHARDS && !waits; i++) {
		g_mutex_lock(&retry->asks[i].lock);
		waits = g_hash_table_size(retry->asks[i].asks) > 0;
		g_mutex_unlock(&retry->asks[i].lock);
	}
	return waits;
}

const struct loom_part_ops loom_retry_ops = {
	.name = "retry",
	.first_type = LOOM_RETRY_ASK,
	.last_type = LOOM_RETRY_ANSWER,
	.tick_us = IDLE_TICK_US,
	.busy_tick_us = TICK_US,
	.busy = busy,
	.message = message,
	.tick = tick,
	.manifest_changed = manifest_changed,
};
