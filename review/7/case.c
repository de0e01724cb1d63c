/*
 * Two daemons are stopped in turn.  The second one has taken orders from
 * clients and passed them on to the first one, which had been told to stop.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define ORDERS 12
#define WORK_S 3.8
#define GRACE_S 6.0
#define ORDERS_AFTER_S 1.8
#define SECOND_AFTER_S 3.0

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

static void *
place(void *arg)
{
	struct order *o = arg;
	char text[128];

	o->conn = kit_connect(NULL, kit_machines[0].ip, kit_ports.outbound);
	if (o->conn == NULL)
		return NULL;
	kit_record("client: sends %s", o->id);
	kit_request(o->conn, "POST", "ord", o->id, 5, "");
	kit_write(o->conn, "hello", 5);
	o->sent = kit_now();
	kit_read_answer(o->conn, &o->answer, false, 8);
	o->ended = kit_now();
	kit_describe(&o->answer, text, sizeof(text));
	kit_record("client: %s: %s", o->id, text);
	return NULL;
}

int
main(int argc, char **argv)
{
	static struct order orders[ORDERS];
	struct kit_machine *entry = &kit_machines[0];
	struct kit_machine *first = &kit_machines[1];
	double first_at, entry_at;
	int i, lost = 0;

	kit_begin(argc > 1 ? argv[1] : "record.txt");
	kit_target = serve;
	kit_add_machine("desk", "tas-hobart", 36);
	kit_add_machine("orders", "tas-hobart", 56);
	kit_add_machine("orders", "tas-hobart", 56);
	kit_put_config();
	kit_start();
	if (kit_trouble) {
		kit_record("SIGTERM to the daemon at %s", first->ip);
		kill(first->pid, SIGTERM);
	}
	first_at = kit_now();
	kit_sleep(ORDERS_AFTER_S);
	for (i = 0; i < ORDERS; i++) {
		snprintf(orders[i].id, sizeof(orders[i].id), "order-%d", i);
		pthread_create(&orders[i].thread, NULL, place, &orders[i]);
	}
	kit_sleep(first_at + SECOND_AFTER_S - kit_now());
	kit_record("SIGTERM to the daemon at %s, to which the clients are "
		   "connected",
	    entry->ip);
	kill(entry->pid, SIGTERM);
	entry_at = kit_now();
	for (i = 0; i < ORDERS; i++) {
		pthread_join(orders[i].thread, NULL);
		if (orders[i].conn == NULL)
			kit_fail("no connection");
		kit_close(orders[i].conn);
	}
	while (
	    (!kit_has_ended(entry) || (kit_trouble && !kit_has_ended(first))) &&
	    kit_now() < entry_at + GRACE_S)
		kit_sleep(0.02);
	for (i = 0; i < ORDERS; i++) {
		if (kit_runs(orders[i].id) == 0 ||
		    (orders[i].answer.whole && orders[i].answer.is_signed))
			continue;
		kit_record("LOST: %s was at work at its target and was broken "
			   "off %.1f s after it was sent, %.1f s after the "
			   "SIGTERM of the machine that took it",
		    orders[i].id, orders[i].ended - orders[i].sent,
		    orders[i].ended - entry_at);
		lost++;
	}
	kit_record("%d of %d orders lost", lost, ORDERS);
	kit_end();
	printf("%d of %d orders lost\n", lost, ORDERS);
	return lost > 0;
}
