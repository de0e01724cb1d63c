/*
 * A target answers uploads before it has read all of them, with an answer that
 * has no length, and its connection is reset in the middle of the answer.
 */

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "kit.h"

#define UPLOADS 6
#define BODY_BYTES 40000000
#define READ_FIRST_BYTES 65536
#define ANSWER_BYTES 40000
#define SENT_BYTES 20000
#define BLOCK_BYTES 16384
#define PAUSE_S 0.2

struct upload {
	char id[32];
	pthread_t thread;
	struct kit_conn *conn;
	size_t sent;
};

/* Reads until so many bytes of the body have come, or to its end. */
static size_t
read_body(struct kit_conn *c, size_t want)
{
	char block[BLOCK_BYTES];
	size_t got = 0;
	ssize_t n;

	while (got < want) {
		n = kit_read(c, block, sizeof(block), 5);
		if (n <= 0)
			break;
		got += (size_t)n;
	}
	return got;
}

static bool
serve(struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	const size_t len = kit_trouble ? SENT_BYTES : ANSWER_BYTES;
	char id[64], answer[ANSWER_BYTES];
	size_t got;

	if (strncmp(head->path, "/up/", 4) != 0)
		return kit_target_sound(m, c, head, 0.02, 600);
	if (!kit_target_accepts(m, c, head))
		return false;
	kit_header(head, "Request-Id", id, sizeof(id));
	kit_note_run(m, id);
	got = read_body(c, READ_FIRST_BYTES);
	memset(answer, 'a', sizeof(answer));
	kit_printf(c,
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	    "Server-Signature: 3e1b.07.5a2.%d.0.c9f2a4d1\r\n"
	    "Connection: close\r\n\r\n",
	    id, ANSWER_BYTES);
	kit_write(c, answer, len);
	kit_record("target %s runs %s, and sends %zu of the %d bytes of its "
		   "answer after %zu bytes of the body",
	    m->id, id, len, ANSWER_BYTES, got);
	kit_sleep(PAUSE_S);
	if (kit_trouble) {
		kit_record("target %s resets the connection of %s", m->id, id);
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		return false;
	}
	shutdown(c->fd, SHUT_WR);
	read_body(c, BODY_BYTES - got);
	return false;
}

static void *
send_body(void *arg)
{
	struct upload *u = arg;
	char block[BLOCK_BYTES];
	size_t n;

	memset(block, 'x', sizeof(block));
	while (u->sent < BODY_BYTES) {
		n = BODY_BYTES - u->sent;
		if (n > sizeof(block))
			n = sizeof(block);
		if (!kit_write(u->conn, block, n))
			break;
		u->sent += n;
	}
	return NULL;
}

/* Returns whether the client got a success that isn't the whole answer. */
static bool
upload(int i)
{
	struct upload u = { .sent = 0 };
	struct kit_answer a;
	char text[128];
	bool mixed;

	u.conn = kit_connect(NULL, kit_machines[0].ip, kit_ports.outbound);
	if (u.conn == NULL)
		kit_fail("no connection");
	snprintf(u.id, sizeof(u.id), "upload-%d", i);
	kit_record("client: sends %s", u.id);
	kit_request(u.conn, "POST", "up", u.id, BODY_BYTES, "");
	pthread_create(&u.thread, NULL, send_body, &u);
	kit_read_answer(u.conn, &a, false, 6);
	kit_describe(&a, text, sizeof(text));
	kit_record("client: %s: %s", u.id, text);
	mixed = a.status == 200 && a.whole && a.body_bytes != ANSWER_BYTES;
	if (mixed)
		kit_record("MIXED: %s got a success that ends as a whole one, "
			   "with %llu of the %d bytes of its target's answer",
		    u.id, (unsigned long long)a.body_bytes, ANSWER_BYTES);
	if (!kit_trouble && (a.status != 200 || !a.whole))
		kit_fail("%s was not answered", u.id);
	shutdown(u.conn->fd, SHUT_RDWR);
	pthread_join(u.thread, NULL);
	kit_close(u.conn);
	return mixed;
}

int
main(int argc, char **argv)
{
	int i, mixed = 0;

	kit_begin(argc > 1 ? argv[1] : "record.txt");
	kit_target = serve;
	kit_add_machine("desk", "tas-hobart", 36);
	kit_add_machine("intake", "tas-hobart", 56);
	kit_add_machine("intake", "tas-burnie", 56);
	kit_put_config();
	kit_start();
	for (i = 0; i < UPLOADS; i++)
		mixed += upload(i);
	kit_record(
	    "%d of %d answers cut and passed on as whole", mixed, UPLOADS);
	kit_end();
	printf("%d of %d answers cut and passed on as whole\n", mixed, UPLOADS);
	return mixed > 0;
}
