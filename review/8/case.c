/*
 * Orders with many headers, together within max_header_bytes, which targets run
 * and answer with some headers of their own.
 */

#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define ORDERS 6
#define HEADERS 250
#define HEADERS_WITHOUT_TROUBLE 27
#define VALUE_BYTES 53
#define MAX_HEADER_BYTES 16384

static bool
serve(struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	uint64_t bytes, sum;
	char id[64];

	if (strncmp(head->path, "/ord/", 5) != 0)
		return kit_target_sound(m, c, head, 0.02, 600);
	if (!kit_target_accepts(m, c, head) ||
	    !kit_target_read_body(c, head, &bytes, &sum))
		return false;
	kit_header(head, "Request-Id", id, sizeof(id));
	kit_note_run(m, id);
	kit_record("target %s runs %s and answers 200", m->id, id);
	return kit_printf(c,
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	    "Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	    "Content-Type: application/json\r\n"
	    "Set-Cookie: session=%0600d; Path=/; HttpOnly\r\n"
	    "Content-Security-Policy: default-src 'self'; %0900d\r\n"
	    "Content-Length: 5\r\n\r\nhello",
	    id, 1, 1);
}

static bool
place(int i)
{
	static char headers[2 * MAX_HEADER_BYTES];
	const int nheaders = kit_trouble ? HEADERS : HEADERS_WITHOUT_TROUBLE;
	struct kit_conn *c;
	struct kit_answer a;
	char id[32], text[128];
	size_t len = 0;
	bool lost;
	int j;

	c = kit_connect(NULL, kit_machines[0].ip, kit_ports.outbound);
	if (c == NULL)
		kit_fail("no connection");
	snprintf(id, sizeof(id), "status-%d", i);
	kit_request(c, "GET", "st", id, 0, "");
	kit_read_answer(c, &a, false, 6);
	for (j = 0; j < nheaders; j++)
		len += (size_t)sprintf(
		    headers + len, "x-%03d: %0*d\r\n", j, VALUE_BYTES, j);
	if (len + 400 > MAX_HEADER_BYTES)
		kit_fail("the headers are too long");
	snprintf(id, sizeof(id), "order-%d", i);
	kit_record("client: sends %s on the kept connection, with %d more "
		   "headers of %zu bytes",
	    id, nheaders, len);
	kit_request(c, "POST", "ord", id, 5, headers);
	kit_write(c, "hello", 5);
	kit_read_answer(c, &a, false, 6);
	kit_describe(&a, text, sizeof(text));
	kit_record("client: %s: %s", id, text);
	kit_close(c);
	lost = !a.whole && kit_runs(id) > 0;
	if (lost)
		kit_record("LOST: %s was run and answered by its target; its "
			   "connection ended without an answer",
		    id);
	return lost;
}

int
main(int argc, char **argv)
{
	int i, lost = 0;

	kit_begin(argc > 1 ? argv[1] : "record.txt");
	kit_target = serve;
	kit_add_machine("desk", "tas-hobart", 36);
	kit_add_machine("orders", "tas-hobart", 56);
	kit_add_machine("orders", "tas-burnie", 56);
	kit_put_config();
	kit_start();
	for (i = 0; i < ORDERS; i++)
		lost += place(i);
	kit_record("%d of %d orders lost; the rule allows 3", lost, ORDERS);
	kit_end();
	printf("%d of %d orders lost; the rule allows 3\n", lost, ORDERS);
	return lost > 3;
}
