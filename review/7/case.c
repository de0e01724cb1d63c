/*
 * Connections between machines go silent; new ones work.  More than stability_s
 * later a daemon is stopped, and takes requests which it passes on over such
 * connections.
 */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define REQUESTS 8
#define WARM_UP 16
#define WORK_S 0.3
#define STABILITY_S 3.0
#define GRACE_S 6.0
#define SENT_AFTER_S 1.0
#define LOSS_SLACK_S 0.2

struct request {
	char id[32];
	pthread_t thread;
	bool connected;
	struct kit_answer answer;
	double sent, ended;
};

static bool
serve(struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	return kit_target_sound(m, c, head, WORK_S, 600);
}

static void *
ask(void *arg)
{
	struct request *r = arg;
	struct kit_conn *c;
	char text[128];

	c = kit_connect(NULL, kit_machines[0].ip, kit_ports.outbound);
	if (c == NULL)
		return NULL;
	r->connected = true;
	kit_record("client: sends %s", r->id);
	kit_request(c, "GET", "st", r->id, 0, "");
	r->sent = kit_now();
	kit_read_answer(c, &r->answer, false, 8);
	r->ended = kit_now();
	kit_describe(&r->answer, text, sizeof(text));
	kit_record(
	    "client: %s: %s, after %.1f s", r->id, text, r->ended - r->sent);
	kit_close(c);
	return NULL;
}

static void
ask_all(struct request *requests, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++) {
		snprintf(
		    requests[i].id, sizeof(requests[i].id), "%s-%d", name, i);
		pthread_create(&requests[i].thread, NULL, ask, &requests[i]);
	}
}

static void
wait_for_all(struct request *requests, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		pthread_join(requests[i].thread, NULL);
		if (!requests[i].connected)
			kit_fail("no connection");
	}
}

int
main(int argc, char **argv)
{
	static struct request warm_up[WARM_UP], requests[REQUESTS];
	struct kit_machine *entry = &kit_machines[0];
	const struct request *r;
	double stopped;
	int i, lost = 0;

	kit_begin(argc > 1 ? argv[1] : "record.txt");
	kit_target = serve;
	kit_add_machine("orders", "tas-hobart", 56);
	kit_add_machine("desk", "tas-hobart", 36);
	kit_add_machine("desk", "tas-hobart", 36);
	kit_add_proxy(&kit_machines[1]);
	kit_add_proxy(&kit_machines[2]);
	kit_put_config();
	kit_start();
	ask_all(warm_up, WARM_UP, "before");
	wait_for_all(warm_up, WARM_UP);
	if (kit_trouble) {
		kit_record("the open connections between machines go silent");
		kit_silence();
	}
	kit_sleep(STABILITY_S + 0.2);
	kit_record("SIGTERM to the daemon at %s", entry->ip);
	kill(entry->pid, SIGTERM);
	stopped = kit_now();
	kit_sleep(SENT_AFTER_S);
	ask_all(requests, REQUESTS, "request");
	wait_for_all(requests, REQUESTS);
	while (!kit_has_ended(entry) && kit_now() < stopped + GRACE_S)
		kit_sleep(0.02);
	for (i = 0; i < REQUESTS; i++) {
		r = &requests[i];
		if (r->answer.whole || r->ended - r->sent < LOSS_SLACK_S)
			continue;
		kit_record("LOST: %s was sent %.1f s after the SIGTERM; its "
			   "connection ended without an answer %.1f s later, "
			   "of 5 s; runs: %d",
		    r->id, r->sent - stopped, r->ended - r->sent,
		    kit_runs(r->id));
		lost++;
	}
	kit_record("%d of %d requests lost", lost, REQUESTS);
	kit_end();
	printf("%d of %d requests lost\n", lost, REQUESTS);
	return lost > 0;
}
