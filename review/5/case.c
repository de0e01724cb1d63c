/*
 * A daemon is stopped in turn while its target leaves, so that it gets SIGTERM
 * twice.  Orders that it has passed on to targets on other machines are at work
 * all the while.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define ORDERS 8
#define WORK_S 2.5
#define DRAIN_S 2.0
#define GRACE_S 6.0
#define BETWEEN_SIGNALS_S 1.0

struct order {
	char id[32];
	pthread_t thread;
	struct kit_conn *conn;
	struct kit_answer answer;
	double sent, ended;
};

static bool
serve(struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	bool is_order = strncmp(head->path, "/ord/", 5) == 0;

	return kit_target_sound(m, c, head, is_order ? WORK_S : 0.02, 600);
}

static void
describe(const struct order *o, const char *id)
{
	char text[128];

	kit_describe(&o->answer, text, sizeof(text));
	kit_record("client: %s: %s", id, text);
}

static void *
place(void *arg)
{
	struct order *o = arg;
	char id[32];

	o->conn = kit_connect(NULL, kit_machines[0].ip, kit_ports.outbound);
	if (o->conn == NULL)
		return NULL;
	snprintf(id, sizeof(id), "status-%s", o->id);
	kit_request(o->conn, "GET", "st", id, 0, "");
	kit_read_answer(o->conn, &o->answer, false, 6);
	describe(o, id);
	kit_record("client: sends %s on the kept connection", o->id);
	kit_request(o->conn, "POST", "ord", o->id, 5, "");
	kit_write(o->conn, "hello", 5);
	o->sent = kit_now();
	kit_read_answer(o->conn, &o->answer, false, 8);
	o->ended = kit_now();
	describe(o, o->id);
	return NULL;
}

int
main(int argc, char **argv)
{
	static struct order orders[ORDERS];
	struct kit_machine *stopped = &kit_machines[0];
	double first;
	int i, lost = 0;

	kit_begin(argc > 1 ? argv[1] : "record.txt");
	kit_target = serve;
	kit_add_machine("desk", "tas-hobart", 36);
	kit_add_machine("orders", "tas-hobart", 56);
	kit_add_machine("orders", "tas-burnie", 56);
	kit_add_machine("desk", "tas-burnie", 36);
	kit_add_machine("desk", "tas-launceston", 36);
	kit_add_machine("orders", "tas-launceston", 56);
	kit_add_machine("intake", "tas-hobart", 56);
	kit_add_machine("intake", "tas-burnie", 56);
	kit_put_config();
	kit_start();
	kit_record("target %s reports that it drains", stopped->id);
	stopped->draining = true;
	kit_beat(stopped);
	kit_sleep(DRAIN_S - BETWEEN_SIGNALS_S - 0.3);
	for (i = 0; i < ORDERS; i++) {
		snprintf(orders[i].id, sizeof(orders[i].id), "order-%d", i);
		pthread_create(&orders[i].thread, NULL, place, &orders[i]);
	}
	kit_sleep(0.3);
	kit_record("SIGTERM to the daemon: it is stopped in turn");
	kill(stopped->pid, SIGTERM);
	first = kit_now();
	kit_sleep(BETWEEN_SIGNALS_S);
	kit_record("target %s ends", stopped->id);
	stopped->beats = false;
	if (kit_trouble) {
		kit_record("SIGTERM to the daemon: its target has ended");
		kill(stopped->pid, SIGTERM);
	}
	for (i = 0; i < ORDERS; i++) {
		pthread_join(orders[i].thread, NULL);
		if (orders[i].conn == NULL)
			kit_fail("no connection");
		kit_close(orders[i].conn);
	}
	while (!kit_has_ended(stopped) && kit_now() < first + GRACE_S)
		kit_sleep(0.02);
	for (i = 0; i < ORDERS; i++) {
		if (orders[i].answer.whole || kit_runs(orders[i].id) == 0)
			continue;
		kit_record("LOST: %s was sent %.1f s before the first SIGTERM "
			   "and passed on; its connection ended %.1f s after "
			   "it without an answer",
		    orders[i].id, first - orders[i].sent,
		    orders[i].ended - first);
		lost++;
	}
	kit_record("%d of %d orders lost", lost, ORDERS);
	kit_end();
	printf("%d of %d orders lost\n", lost, ORDERS);
	return lost > 0;
}
