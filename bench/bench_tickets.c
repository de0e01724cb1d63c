/*
 * What contexts, tickets and the quarantine cost a call, and what a hand-over
 * sends.  Times are held as ratios to one MAC over a context's bytes in the
 * same run, so that the bounds mean the same on any machine.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "inner/mac_text.h"
#include "loom/clock.h"
#include "loom/context.h"
#include "loom/quarantine.h"
#include "loom/ticket.h"

#define ROUNDS 100000
#define TEAMS 200
#define TEAM 5
#define ROUTE 6

static const uint8_t secret[LOOM_FLEET_SECRET_SIZE] = { 7 };
static double mac_ns;
static bool broken;

static void
report(const char *what, uint64_t begun_us, unsigned rounds, double bound)
{
	double ns = (double)(loom_now_us() - begun_us) * 1000 / rounds;

	if (mac_ns == 0)
		mac_ns = ns;
	printf("%-34s %8.0f ns  %6.1f MACs (bound %.1f)\n", what, ns,
	    ns / mac_ns, bound);
	if (ns / mac_ns > bound)
		broken = true;
}

static void
bench_mac(void)
{
	uint8_t data[160] = { 0 }, mac[16];
	uint64_t begun_us = loom_now_us();
	unsigned i;

	for (i = 0; i < ROUNDS; i++) {
		loom_mac(mac, sizeof(mac), data, sizeof(data), secret);
		data[0] = mac[0];
	}
	report("MAC over 160 bytes", begun_us, ROUNDS, 1);
}

static void
bench_context(void)
{
	struct loom_context context = {
		.kind = LOOM_CONTEXT_PEER,
		.remaining_us = LOOM_US_PER_S,
		.hops = 1,
		.audience_stamp_us = loom_now_us(),
	};
	const struct loom_context_expect expect = {
		.kind = LOOM_CONTEXT_PEER,
		.host_id = UINT64_MAX,
		.incarnation = UINT64_MAX,
	};
	struct loom_replay_set *replay = loom_replay_set_new(1 << 20);
	char text[LOOM_CONTEXT_TEXT_MAX];
	struct loom_context_key key;
	struct loom_context out;
	uint64_t begun_us, now_us = loom_now_us();
	size_t len = 0;
	unsigned i;

	/* Ids are hashes and random numbers: all of their bytes are sent. */
	context.team_id = context.home_host_id = UINT64_MAX;
	context.home_incarnation = context.issuer_host_id = UINT64_MAX;
	context.issuer_incarnation = UINT64_MAX;
	context.audience_host_id = expect.host_id;
	context.audience_incarnation = expect.incarnation;
	loom_context_key_derive(&key, secret);
	begun_us = loom_now_us();
	for (i = 0; i < ROUNDS; i++)
		len = loom_context_encode(&context, &key, text, sizeof(text));
	report("context, encode", begun_us, ROUNDS, 6);
	begun_us = loom_now_us();
	for (i = 0; i < ROUNDS; i++)
		broken |= loom_context_verify(text, len, &key, &expect, now_us,
			      &out) != LOOM_OK;
	report("context, verify", begun_us, ROUNDS, 9);
	begun_us = loom_now_us();
	for (i = 0; i < ROUNDS; i++) {
		memcpy(context.call.bytes, &i, sizeof(i));
		context.call.bytes[15] = (uint8_t)i;
		broken |=
		    loom_replay_set_admit(replay, &context, now_us) != LOOM_OK;
	}
	report("context, call id not seen before", begun_us, ROUNDS, 1);
	printf("%-34s %8zu bytes\n", "context, text", len);
	loom_replay_set_free(replay);
}

static void
ignore_done(void *arg, enum loom_result code, enum loom_outcome outcome,
    struct loom_answer *answer)
{
	(void)arg;
	(void)code;
	(void)outcome;
	(void)answer;
}

/* Two daemons whose messages arrive at once. */
struct pair {
	struct loom_self self[2];
	struct loom_sender sender[2];
	struct loom_tickets *tickets[2];
	size_t bytes;
};

static struct pair pair;

static void
pair_send(
    void *arg, uint64_t host_id, uint8_t type, const void *payload, size_t len)
{
	const struct loom_self *self = arg;
	struct loom_message_source from = { self->host_id, self->incarnation };

	pair.bytes += len;
	loom_tickets_ops.message(pair.tickets[host_id - 1], &from, type,
	    payload, len, loom_now_us());
}

static struct loom_hosts *
pair_hosts(void)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct loom_host));
	struct loom_host host = { 0 };
	struct loom_hosts *hosts;

	for (host.id = 1; host.id <= 2; host.id++)
		g_array_append_val(list, host);
	hosts = loom_hosts_build(list);
	g_array_free(list, TRUE);
	return hosts;
}

static void
pair_init(void)
{
	struct loom_hosts *hosts = pair_hosts();
	struct loom_tickets_config config = {
		.fleet_secret = secret,
		.random = &loom_random_system,
		.limits = loom_ticket_limits_default,
	};
	size_t i;

	for (i = 0; i < 2; i++) {
		pair.self[i].host_id = i + 1;
		pair.self[i].incarnation = 100 + i;
		pair.sender[i] =
		    (struct loom_sender){ pair_send, &pair.self[i] };
		config.self = &pair.self[i];
		config.sender = &pair.sender[i];
		pair.tickets[i] = loom_tickets_new(&config);
		loom_tickets_ops.hosts_changed(pair.tickets[i], hosts, 0);
	}
	loom_hosts_release(hosts);
}

static void
one_ticket(uint64_t team_id, struct loom_answer *answer)
{
	static const struct loom_ticket_waiter waiter = { ignore_done, NULL };
	static const struct loom_request_digest digest = { .head = "order" };
	char text[1][LOOM_TICKET_TEXT_MAX];
	struct loom_ticket_begin begin;
	struct loom_ticket ticket;

	broken |= loom_tickets_issue(
		      pair.tickets[0], team_id, ROUTE, 1, text) != LOOM_OK;
	broken |=
	    loom_ticket_parse(text[0], strlen(text[0]), &ticket) != LOOM_OK;
	loom_tickets_begin(
	    pair.tickets[0], &ticket, team_id, ROUTE, &digest, &waiter, &begin);
	if (begin.verdict != LOOM_TICKET_VERDICT_RUN) {
		broken = true;
		return;
	}
	loom_tickets_finish(
	    pair.tickets[0], begin.run, LOOM_OUTCOME_RAN, LOOM_OK, answer);
}

static void
bench_tickets(void)
{
	struct loom_answer *answer = loom_answer_new(201, "", 0, "body", 4);
	uint64_t begun_us, now_us;
	unsigned i;

	pair_init();
	begun_us = loom_now_us();
	for (i = 0; i < ROUNDS; i++)
		one_ticket(TEAM, answer);
	report("ticket, issue to kept answer", begun_us, ROUNDS, 9);
	loom_tickets_free(pair.tickets[0]);
	loom_tickets_free(pair.tickets[1]);

	pair_init();
	for (i = 0; i < TEAMS * 100; i++)
		one_ticket(i % TEAMS, NULL);
	now_us = loom_now_us();
	loom_tickets_ops.drain(pair.tickets[0], now_us);
	begun_us = loom_now_us();
	for (i = 0; i < 100 && !loom_tickets_drained(pair.tickets[0]); i++) {
		now_us += 50 * LOOM_US_PER_MS;
		loom_tickets_ops.tick(pair.tickets[0], now_us);
	}
	printf("%-34s %8zu bytes, %.1f a team, %.1f ms of work\n",
	    "hand-over, 200 teams, 100 each", pair.bytes,
	    (double)pair.bytes / TEAMS,
	    (double)(loom_now_us() - begun_us) / 1000);
	broken |= !loom_tickets_drained(pair.tickets[0]);
	/* 100 numbers are 25 bytes; with ids and heads well under 80. */
	broken |= pair.bytes > (size_t)TEAMS * 80;
	loom_tickets_free(pair.tickets[0]);
	loom_tickets_free(pair.tickets[1]);
	loom_answer_release(answer);
}

static void
bench_quarantine(void)
{
	static uint8_t body[LOOM_FINGERPRINT_PREFIX_BYTES];
	const struct loom_quarantine_config config = { 0 };
	struct loom_quarantine *quarantine = loom_quarantine_new(&config);
	struct loom_quarantine_entry *entry;
	struct loom_fingerprint print;
	uint64_t begun_us = loom_now_us(), now_us = begun_us;
	unsigned i;

	for (i = 0; i < ROUNDS; i++)
		loom_fingerprint(&print, i, ROUTE, "/orders", 0, NULL, 0);
	report("fingerprint, no body", begun_us, ROUNDS, 1.5);
	begun_us = loom_now_us();
	for (i = 0; i < ROUNDS / 10; i++)
		loom_fingerprint(&print, i, ROUTE, "/orders", sizeof(body),
		    body, sizeof(body));
	report("fingerprint, 16 KB", begun_us, ROUNDS / 10, 90);
	begun_us = loom_now_us();
	for (i = 0; i < ROUNDS; i++) {
		broken |= loom_quarantine_enter(quarantine, &print, now_us,
			      &entry) != LOOM_QUARANTINE_PASS;
		loom_quarantine_leave(
		    quarantine, entry, LOOM_QUARANTINE_ANSWERED, now_us);
	}
	report("quarantine, enter and leave", begun_us, ROUNDS, 0.6);
	loom_quarantine_free(quarantine);
}

int
main(void)
{
	bench_mac();
	bench_context();
	bench_tickets();
	bench_quarantine();
	puts(broken ? "tickets: BOUND BROKEN" : "tickets: bounds held");
	return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
