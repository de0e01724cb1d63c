/*
 * One target of four spoils one answer in a hundred: it answers an upload
 * before it has read all of it, without a length, and its connection is reset
 * in the middle of the answer.  All other answers, of short uploads above all,
 * are sound.
 */

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "kit.h"

#define SPOILED 3
#define SOUND_BETWEEN 100
#define SENDERS 24
#define SHORT_BYTES 1000
#define SHORT_PAUSE_S 0.05
#define LIMIT_S 60.0
#define BODY_BYTES 40000000
#define READ_FIRST_BYTES 65536
#define ANSWER_BYTES 40000
#define SENT_BYTES 20000
#define BLOCK_BYTES 16384
#define PAUSE_S 0.03
#define WORK_S 0.03

struct upload {
	char id[32];
	pthread_t thread;
	struct kit_conn *conn;
	size_t sent;
};

static unsigned sound; /* answers of the faulty target since the last spoiled */
static unsigned short_whole, short_other;
static bool stopping;

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
spoil(struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	const size_t len = kit_trouble ? SENT_BYTES : ANSWER_BYTES;
	char id[64], answer[ANSWER_BYTES];
	size_t got;

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

static bool
serve(struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	const bool is_faulty = m == &kit_machines[1];
	uint64_t bytes, sum;
	char id[64];

	if (!kit_target_accepts(m, c, head))
		return false;
	if (is_faulty && head->content_length == BODY_BYTES &&
	    __atomic_load_n(&sound, __ATOMIC_RELAXED) >= SOUND_BETWEEN) {
		__atomic_store_n(&sound, 0, __ATOMIC_RELAXED);
		return spoil(m, c, head);
	}
	if (!kit_target_read_body(c, head, &bytes, &sum))
		return false;
	kit_header(head, "Request-Id", id, sizeof(id));
	kit_note_run(m, id);
	if (is_faulty)
		__atomic_fetch_add(&sound, 1, __ATOMIC_RELAXED);
	kit_sleep(WORK_S);
	return kit_target_answer(m, c, head, ANSWER_BYTES);
}

/* Sends short uploads on one connection. */
static void *
send_short(void *arg)
{
	char id[32], body[SHORT_BYTES];
	struct kit_conn *c = NULL;
	struct kit_answer a;
	int i;

	memset(body, 'x', sizeof(body));
	for (i = 0; !__atomic_load_n(&stopping, __ATOMIC_RELAXED); i++) {
		if (c == NULL)
			c = kit_connect(
			    NULL, kit_machines[0].ip, kit_ports.outbound);
		if (c == NULL)
			break;
		snprintf(id, sizeof(id), "short-%d-%d", (int)(intptr_t)arg, i);
		kit_request(c, "POST", "up", id, sizeof(body), "");
		kit_write(c, body, sizeof(body));
		kit_read_answer(c, &a, false, 6);
		__atomic_fetch_add(
		    a.status == 200 && a.whole ? &short_whole : &short_other, 1,
		    __ATOMIC_RELAXED);
		if (!a.whole || a.closed) {
			kit_close(c);
			c = NULL;
		}
		kit_sleep(SHORT_PAUSE_S);
	}
	kit_close(c);
	return NULL;
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
	shutdown(u.conn->fd, SHUT_RDWR);
	pthread_join(u.thread, NULL);
	kit_close(u.conn);
	return mixed;
}

int
main(int argc, char **argv)
{
	pthread_t senders[SENDERS];
	unsigned spoiled = 0, before;
	int i, long_uploads = 0, mixed = 0;

	kit_begin(argc > 1 ? argv[1] : "record.txt");
	kit_target = serve;
	kit_add_machine("desk", "tas-hobart", 36);
	for (i = 0; i < 4; i++)
		kit_add_machine("intake", "tas-hobart", 56);
	kit_put_config();
	kit_start();
	for (i = 0; i < SENDERS; i++)
		pthread_create(
		    &senders[i], NULL, send_short, (void *)(intptr_t)i);
	while (spoiled < SPOILED && kit_now() < LIMIT_S) {
		before = __atomic_load_n(&sound, __ATOMIC_RELAXED);
		if (before < SOUND_BETWEEN) {
			kit_sleep(0.05);
			continue;
		}
		kit_record("%u sound answers of the faulty target", before);
		mixed += upload(long_uploads++);
		if (__atomic_load_n(&sound, __ATOMIC_RELAXED) < before)
			spoiled++;
	}
	__atomic_store_n(&stopping, true, __ATOMIC_RELAXED);
	for (i = 0; i < SENDERS; i++)
		pthread_join(senders[i], NULL);
	if (spoiled < SPOILED)
		kit_fail("the faulty target got too few long uploads");
	kit_record("%d long uploads, %u short ones answered whole, %u not; %u "
		   "answers %s",
	    long_uploads, short_whole, short_other, spoiled,
	    kit_trouble ? "spoiled" : "without a length");
	kit_record(
	    "%d of %u answers cut and passed on as whole", mixed, spoiled);
	kit_end();
	printf("%d of %u answers cut and passed on as whole\n", mixed, spoiled);
	return mixed > 0;
}
