#define _GNU_SOURCE
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "kit.h"

#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define RUNS_MAX 65536

struct kit_machine kit_machines[KIT_MACHINES_MAX];
int kit_nmachines;
struct kit_ports kit_ports;
char kit_folder[256];
bool kit_trouble = true;
kit_target_fn kit_target;

static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static double started;
static char net[32];
static char store_ip[40];

static struct {
	char key[200];
	char *value;
	uint64_t revision, created;
} items[ITEMS_MAX];
static int nitems;
static struct {
	char key[200];
	char *value; /* NULL: deleted */
	uint64_t revision;
} events[EVENTS_MAX];
static int nevents;
static uint64_t revision = 100;

static struct {
	char id[64];
	char host[32];
	double at;
} runs[RUNS_MAX];
static int nruns;

static double
clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
kit_now(void)
{
	return clock_s() - started;
}

void
kit_sleep(double s)
{
	struct timespec t;

	if (s <= 0)
		return;
	t.tv_sec = (time_t)s;
	t.tv_nsec = (long)((s - (double)t.tv_sec) * 1e9);
	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void
kit_record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&lock);
	fprintf(record, "%8.3f  ", kit_now());
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

void
kit_fail(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fprintf(stderr, "could not run: ");
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	kit_record("the case could not run");
	kit_end();
	exit(2);
}

/* Connections. */

struct kit_conn *
kit_conn_new(int fd)
{
	struct kit_conn *c = calloc(1, sizeof(*c));
	const int on = 1;

	c->fd = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return c;
}

void
kit_close(struct kit_conn *c)
{
	if (c == NULL)
		return;
	close(c->fd);
	free(c);
}

static struct sockaddr_in
address_of(const char *ip, int port)
{
	struct sockaddr_in a;

	memset(&a, 0, sizeof(a));
	a.sin_family = AF_INET;
	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

struct kit_conn *
kit_connect(const char *from, const char *ip, int port)
{
	struct sockaddr_in to = address_of(ip, port), source;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (from != NULL) {
		source = address_of(from, 0);
		bind(fd, (struct sockaddr *)&source, sizeof(source));
	}
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return NULL;
	}
	return kit_conn_new(fd);
}

bool
kit_write(struct kit_conn *c, const void *data, size_t len)
{
	const char *at = data;
	ssize_t n;

	while (len > 0) {
		n = send(c->fd, at, len, MSG_NOSIGNAL);
		if (n <= 0) {
			c->broken = true;
			return false;
		}
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool
kit_printf(struct kit_conn *c, const char *fmt, ...)
{
	char text[8192];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return kit_write(c, text, (size_t)n);
}

/* Reads more into the buffer; 1, 0 at the end, -1 on an error, -2 late. */
static int
fill(struct kit_conn *c, double until)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	double left = until - clock_s();
	ssize_t n;
	int ready;

	if (c->begin == c->end)
		c->begin = c->end = 0;
	if (c->end == sizeof(c->buf))
		return -1;
	ready = poll(&p, 1, left <= 0 ? 0 : (int)(left * 1000) + 1);
	if (ready == 0)
		return -2;
	if (ready < 0)
		return errno == EINTR ? 1 : -1;
	n = recv(c->fd, c->buf + c->end, sizeof(c->buf) - c->end, 0);
	if (n == 0) {
		c->eof = true;
		return 0;
	}
	if (n < 0) {
		c->broken = true;
		return -1;
	}
	c->end += (size_t)n;
	return 1;
}

ssize_t
kit_read(struct kit_conn *c, void *out, size_t len, double timeout_s)
{
	double until = clock_s() + timeout_s;
	size_t have;
	int got;

	while (c->begin == c->end) {
		got = fill(c, until);
		if (got == 0)
			return 0;
		if (got < 0)
			return got;
	}
	have = c->end - c->begin;
	if (len > have)
		len = have;
	memcpy(out, c->buf + c->begin, len);
	c->begin += len;
	return (ssize_t)len;
}

static int
read_line(struct kit_conn *c, char *line, size_t size, double until)
{
	size_t n = 0;
	char ch;
	ssize_t got;

	for (;;) {
		got = kit_read(c, &ch, 1, until - clock_s());
		if (got <= 0)
			return got == 0 ? 0 : -1;
		if (ch == '\n')
			break;
		if (n + 1 < size)
			line[n++] = ch;
	}
	if (n > 0 && line[n - 1] == '\r')
		n--;
	line[n] = '\0';
	return 1;
}

bool
kit_header(
    const struct kit_head *head, const char *name, char *value, size_t size)
{
	const char *at = strchr(head->text, '\n');
	size_t len = strlen(name), n;

	while (at != NULL) {
		at++;
		if (strncasecmp(at, name, len) == 0 && at[len] == ':') {
			at += len + 1;
			while (*at == ' ')
				at++;
			n = strcspn(at, "\r\n");
			if (n >= size)
				n = size - 1;
			memcpy(value, at, n);
			value[n] = '\0';
			return true;
		}
		at = strchr(at, '\n');
	}
	value[0] = '\0';
	return false;
}

bool
kit_read_head(struct kit_conn *c, struct kit_head *head, double timeout_s)
{
	double until = clock_s() + timeout_s;
	char line[16384], value[256];
	size_t used = 0, n;
	bool first = true;

	memset(head, 0, sizeof(*head));
	for (;;) {
		if (read_line(c, line, sizeof(line), until) <= 0)
			return false;
		if (line[0] == '\0') {
			if (first)
				continue;
			break;
		}
		n = strlen(line);
		if (used + n + 2 >= sizeof(head->text))
			return false;
		memcpy(head->text + used, line, n);
		used += n;
		head->text[used++] = '\n';
		first = false;
	}
	head->text[used] = '\0';
	if (strncmp(head->text, "HTTP/", 5) == 0)
		head->status = atoi(head->text + 9);
	else
		sscanf(head->text, "%15s %511s", head->method, head->path);
	head->content_length = -1;
	if (kit_header(head, "Content-Length", value, sizeof(value)))
		head->content_length = atoll(value);
	if (kit_header(head, "Transfer-Encoding", value, sizeof(value)))
		head->chunked = strcasecmp(value, "chunked") == 0;
	if (kit_header(head, "Connection", value, sizeof(value)))
		head->close = strcasecmp(value, "close") == 0;
	return true;
}

uint64_t
kit_sum(uint64_t sum, const void *data, size_t len)
{
	const unsigned char *at = data;
	size_t i;

	for (i = 0; i < len; i++)
		sum = sum * 1099511628211u + at[i] + 1;
	return sum;
}

static void
take(struct kit_answer *a, const char *data, size_t len)
{
	size_t have = strlen(a->body_start), n = len;

	if (have + n >= sizeof(a->body_start))
		n = sizeof(a->body_start) - 1 - have;
	memcpy(a->body_start + have, data, n);
	a->body_start[have + n] = '\0';
	a->body_sum = kit_sum(a->body_sum, data, len);
	a->body_bytes += len;
}

/* Reads len bytes of a body; 1 if all came. */
static int
read_exactly(
    struct kit_conn *c, struct kit_answer *a, uint64_t len, double until)
{
	char part[16384];
	ssize_t got;

	while (len > 0) {
		got = kit_read(c, part, len < sizeof(part) ? len : sizeof(part),
		    until - clock_s());
		if (got <= 0)
			return got == 0 ? 0 : (int)got;
		take(a, part, (size_t)got);
		len -= (uint64_t)got;
	}
	return 1;
}

static int
read_chunks(struct kit_conn *c, struct kit_answer *a, double until)
{
	char line[256];
	uint64_t len;
	int got;

	for (;;) {
		got = read_line(c, line, sizeof(line), until);
		if (got <= 0)
			return got;
		len = strtoull(line, NULL, 16);
		if (len > 0) {
			got = read_exactly(c, a, len, until);
			if (got <= 0)
				return got;
		}
		got = read_line(c, line, sizeof(line), until);
		if (got <= 0)
			return got;
		if (len == 0)
			return 1;
	}
}

void
kit_read_answer(
    struct kit_conn *c, struct kit_answer *a, bool is_head, double timeout_s)
{
	struct kit_head *head = malloc(sizeof(*head));
	double until = clock_s() + timeout_s;
	char value[256], part[16384];
	ssize_t got;
	int ok;

	memset(a, 0, sizeof(*a));
	do {
		if (!kit_read_head(c, head, until - clock_s())) {
			a->reset = c->broken;
			a->closed = c->eof;
			a->timed_out = !c->broken && !c->eof;
			free(head);
			return;
		}
	} while (head->status < 200);
	a->status = head->status;
	a->is_signed =
	    kit_header(head, "Server-Signature", value, sizeof(value));
	kit_header(head, "Request-Id", a->request_id, sizeof(a->request_id));
	kit_header(head, "Loom-Code", a->code, sizeof(a->code));
	kit_header(head, "Retry-After", a->retry_after, sizeof(a->retry_after));
	if (is_head || head->status == 204 || head->status == 304) {
		ok = 1;
	} else if (head->chunked) {
		ok = read_chunks(c, a, until);
	} else if (head->content_length >= 0) {
		ok = read_exactly(c, a, (uint64_t)head->content_length, until);
	} else {
		while ((got = kit_read(
			    c, part, sizeof(part), until - clock_s())) > 0)
			take(a, part, (size_t)got);
		ok = got == 0 ? 1 : (int)got;
	}
	a->whole = ok == 1;
	a->reset = c->broken;
	a->closed = c->eof || head->close;
	a->timed_out = ok == -2;
	free(head);
}

void
kit_describe(const struct kit_answer *a, char *text, size_t size)
{
	if (a->status == 0)
		snprintf(text, size, "no answer, the connection %s",
		    a->reset        ? "was reset"
			: a->closed ? "was closed"
				    : "stayed silent");
	else
		snprintf(text, size, "%d%s%s%s, body of %llu bytes %s%s",
		    a->status, a->is_signed ? " signed" : "",
		    a->code[0] ? " code " : "", a->code,
		    (unsigned long long)a->body_bytes,
		    a->whole ? "whole" : "cut", a->reset ? ", reset" : "");
}

/* Runs. */

void
kit_note_run(const struct kit_machine *m, const char *id)
{
	pthread_mutex_lock(&lock);
	if (nruns < RUNS_MAX) {
		snprintf(runs[nruns].id, sizeof(runs[nruns].id), "%s", id);
		snprintf(
		    runs[nruns].host, sizeof(runs[nruns].host), "%s", m->ip);
		runs[nruns++].at = kit_now();
	}
	pthread_mutex_unlock(&lock);
}

int
kit_runs(const char *id)
{
	int i, n = 0;

	pthread_mutex_lock(&lock);
	for (i = 0; i < nruns; i++)
		n += strcmp(runs[i].id, id) == 0;
	pthread_mutex_unlock(&lock);
	return n;
}

/* The store. */

static void
add_event(const char *key, const char *value)
{
	if (nevents == EVENTS_MAX) {
		free(events[0].value);
		memmove(
		    events, events + 1, sizeof(events[0]) * (EVENTS_MAX - 1));
		nevents--;
	}
	snprintf(events[nevents].key, sizeof(events[nevents].key), "%s", key);
	events[nevents].value = value == NULL ? NULL : strdup(value);
	events[nevents++].revision = revision;
	pthread_cond_broadcast(&changed);
}

void
kit_put(const char *key, const char *value)
{
	int i, j;

	pthread_mutex_lock(&lock);
	revision++;
	for (i = 0; i < nitems && strcmp(items[i].key, key) < 0; i++)
		;
	if (i == nitems || strcmp(items[i].key, key) != 0) {
		for (j = nitems++; j > i; j--)
			items[j] = items[j - 1];
		snprintf(items[i].key, sizeof(items[i].key), "%s", key);
		items[i].value = NULL;
		items[i].created = revision;
	}
	free(items[i].value);
	items[i].value = strdup(value);
	items[i].revision = revision;
	add_event(key, value);
	pthread_mutex_unlock(&lock);
}

void
kit_delete(const char *key)
{
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < nitems && strcmp(items[i].key, key) != 0; i++)
		;
	if (i < nitems) {
		revision++;
		free(items[i].value);
		memmove(items + i, items + i + 1,
		    sizeof(items[0]) * (size_t)(nitems - i - 1));
		nitems--;
		add_event(key, NULL);
	}
	pthread_mutex_unlock(&lock);
}

static void
put_base64(FILE *out, const char *text)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	const unsigned char *at = (const unsigned char *)text;
	size_t left = strlen(text);
	unsigned v;

	for (; left > 0; at += 3) {
		v = (unsigned)at[0] << 16;
		if (left > 1)
			v |= (unsigned)at[1] << 8;
		if (left > 2)
			v |= at[2];
		fputc(digits[v >> 18], out);
		fputc(digits[v >> 12 & 63], out);
		fputc(left > 1 ? digits[v >> 6 & 63] : '=', out);
		fputc(left > 2 ? digits[v & 63] : '=', out);
		left -= left > 3 ? 3 : left;
	}
}

static void
put_item(FILE *out, const char *key, const char *value, uint64_t rev)
{
	fprintf(out, "{\"key\":\"%s\",\"revision\":%llu", key,
	    (unsigned long long)rev);
	if (value == NULL) {
		fprintf(out, ",\"deleted\":true}");
		return;
	}
	fprintf(out, ",\"created\":%llu,\"lease\":0,\"value\":\"",
	    (unsigned long long)rev);
	put_base64(out, value);
	fprintf(out, "\"}");
}

static bool
query(const char *path, const char *name, char *value, size_t size)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name), n;

	value[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			at += len + 1;
			n = strcspn(at, "&");
			if (n >= size)
				n = size - 1;
			memcpy(value, at, n);
			value[n] = '\0';
			return true;
		}
		at = strchr(at, '&');
	}
	return false;
}

static void
answer_range(FILE *out, const char *prefix, const char *after)
{
	bool first = true;
	int i;

	fprintf(out, "{\"items\":[");
	for (i = 0; i < nitems; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
		    (after[0] != '\0' && strcmp(items[i].key, after) <= 0))
			continue;
		if (!first)
			fputc(',', out);
		first = false;
		put_item(out, items[i].key, items[i].value, items[i].revision);
	}
	fprintf(out, "],\"has_more\":false,\"current_rev\":%llu}",
	    (unsigned long long)revision);
}

static void
answer_watch(FILE *out, const char *prefix, uint64_t after, double wait_s)
{
	struct timespec t;
	double until;
	bool first = true;
	int i, found;

	clock_gettime(CLOCK_REALTIME, &t);
	until = (double)t.tv_sec + (double)t.tv_nsec / 1e9 + wait_s;
	t.tv_sec = (time_t)until;
	t.tv_nsec = (long)((until - (double)t.tv_sec) * 1e9);
	for (;;) {
		for (i = 0, found = 0; i < nevents; i++)
			found += events[i].revision > after &&
			    strncmp(events[i].key, prefix, strlen(prefix)) == 0;
		if (found > 0 ||
		    pthread_cond_timedwait(&changed, &lock, &t) == ETIMEDOUT)
			break;
	}
	fprintf(out, "{\"events\":[");
	for (i = 0; i < nevents; i++) {
		if (events[i].revision <= after ||
		    strncmp(events[i].key, prefix, strlen(prefix)) != 0)
			continue;
		if (!first)
			fputc(',', out);
		first = false;
		put_item(
		    out, events[i].key, events[i].value, events[i].revision);
	}
	fprintf(out, "],\"current_rev\":%llu}", (unsigned long long)revision);
}

static void *
serve_store(void *arg)
{
	struct kit_conn *c = arg;
	struct kit_head *head = malloc(sizeof(*head));
	char prefix[256], after[256], wait_ms[32], *body;
	size_t len;
	FILE *out;
	bool known;

	while (kit_read_head(c, head, 300)) {
		query(head->path, "prefix", prefix, sizeof(prefix));
		query(head->path, "after", after, sizeof(after));
		query(head->path, "wait_ms", wait_ms, sizeof(wait_ms));
		known = true;
		out = open_memstream(&body, &len);
		pthread_mutex_lock(&lock);
		if (strncmp(head->path, "/kv-range", 9) == 0)
			answer_range(out, prefix, after);
		else if (strncmp(head->path, "/kv-watch", 9) == 0)
			answer_watch(out, prefix, strtoull(after, NULL, 10),
			    atof(wait_ms) / 1000);
		else
			known = false;
		pthread_mutex_unlock(&lock);
		fclose(out);
		if (!kit_printf(c,
			"HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n",
			known ? "200 OK" : "404 Not Found", len) ||
		    !kit_write(c, body, len)) {
			free(body);
			break;
		}
		free(body);
	}
	free(head);
	kit_close(c);
	return NULL;
}

/* A configuration like those of the operator, with three routes. */
void
kit_put_config(void)
{
	static const char *const services[] = { "desk", "orders", "intake" };
	static const char *const prefixes[] = { "st", "ord", "up" };
	static const char *const kinds[] = { "safe", "unsafe", "upload" };
	char *text;
	size_t len;
	FILE *out = open_memstream(&text, &len);
	int i;

	fprintf(out, "{\"version\":7,\"routes\":[");
	for (i = 0; i < 3; i++)
		fprintf(out,
		    "%s{\"name\":\"r-%s\",\"host\":\"%s\",\"prefix\":"
		    "\"/%s/\",\"kind\":\"%s\",\"timeout_s\":5,\"aim_s\":2,"
		    "\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,"
		    "\"public\":false}",
		    i > 0 ? "," : "", prefixes[i], KIT_HOST, prefixes[i],
		    kinds[i], services[i]);
	fprintf(out, "],\"services\":[");
	for (i = 0; i < 3; i++)
		fprintf(out,
		    "%s{\"name\":\"%s\",\"health_path\":\"/health\","
		    "\"max_connections\":316,\"protocol\":\"h1\","
		    "\"tls\":false}",
		    i > 0 ? "," : "", services[i]);
	fprintf(out,
	    "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	    "67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
	    "\"tenants\":[{\"name\":\"pulo780\",\"api_keys\":[\"%s\"],"
	    "\"priority\":1,\"rate_per_s\":460,\"burst\":460}]}",
	    KIT_KEY);
	fclose(out);
	kit_put("op/config", text);
	free(text);
}

void
kit_request(struct kit_conn *c, const char *method, const char *prefix,
    const char *id, size_t body_bytes, const char *headers)
{
	kit_printf(c,
	    "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n"
	    "Content-Length: %zu\r\n",
	    method, prefix, id, KIT_HOST, id, KIT_KEY, body_bytes);
	kit_write(c, headers, strlen(headers));
	kit_write(c, "\r\n", 2);
}

/* Listeners. */

struct listener {
	int fd;
	struct kit_machine *machine; /* NULL: the store */
};

struct served {
	struct kit_machine *machine;
	struct kit_conn *conn;
};

static void *
serve_target(void *arg)
{
	struct served s = *(struct served *)arg;
	struct kit_head *head = malloc(sizeof(*head));

	free(arg);
	while (kit_read_head(s.conn, head, 10)) {
		if (strcmp(head->path, "/health") == 0) {
			if (!kit_printf(s.conn,
				"HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
				"Server-Load: %u,0,%u\r\nContent-Length: 0\r\n"
				"\r\n",
				s.machine->draining ? "503 Service Unavailable"
						    : "200 OK",
				s.machine->id, s.machine->running,
				s.machine->slots))
				break;
			continue;
		}
		if (!kit_target(s.machine, s.conn, head))
			break;
	}
	free(head);
	kit_close(s.conn);
	return NULL;
}

static void
spawn(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		fprintf(stderr, "no thread\n");
	pthread_attr_destroy(&attr);
}

static void *
accept_loop(void *arg)
{
	struct listener l = *(struct listener *)arg;
	struct served *s;
	int fd;

	free(arg);
	while ((fd = accept4(l.fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		if (l.machine == NULL) {
			spawn(serve_store, kit_conn_new(fd));
			continue;
		}
		s = malloc(sizeof(*s));
		s->machine = l.machine;
		s->conn = kit_conn_new(fd);
		spawn(serve_target, s);
	}
	return NULL;
}

static int
listen_on(const char *ip, int port)
{
	struct sockaddr_in a = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 512) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void
start_listener(int fd, struct kit_machine *m)
{
	struct listener *l = malloc(sizeof(*l));

	l->fd = fd;
	l->machine = m;
	spawn(accept_loop, l);
}

/* Proxies. */

static unsigned silences; /* grows with each kit_silence() */

struct relay {
	int from, to;
	unsigned silences; /* when the connection was opened */
};

/* Passes bytes on in one direction until either side closes. */
static void *
relay(void *arg)
{
	struct relay r = *(struct relay *)arg;
	char block[16384];
	ssize_t n;

	free(arg);
	while ((n = recv(r.from, block, sizeof(block), 0)) > 0) {
		while (
		    r.silences != __atomic_load_n(&silences, __ATOMIC_ACQUIRE))
			pause();
		if (send(r.to, block, (size_t)n, MSG_NOSIGNAL) != n)
			break;
	}
	if (r.silences == __atomic_load_n(&silences, __ATOMIC_ACQUIRE)) {
		shutdown(r.from, SHUT_RDWR);
		shutdown(r.to, SHUT_RDWR);
	}
	return NULL;
}

static void
start_relay(int from, int to, unsigned count)
{
	struct relay *r = malloc(sizeof(*r));

	*r = (struct relay){ .from = from, .to = to, .silences = count };
	spawn(relay, r);
}

static void *
run_proxy(void *arg)
{
	const struct kit_machine *m = arg;
	int listener = listen_on(m->ip, kit_ports.inbound), fd;
	struct kit_conn *out;
	unsigned count;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		out = kit_connect(NULL, m->peer_ip, kit_ports.inbound);
		if (out == NULL) {
			close(fd);
			continue;
		}
		count = __atomic_load_n(&silences, __ATOMIC_ACQUIRE);
		start_relay(fd, out->fd, count);
		start_relay(out->fd, fd, count);
	}
	return NULL;
}

void
kit_add_proxy(struct kit_machine *m)
{
	snprintf(m->peer_ip, sizeof(m->peer_ip), "%s1", m->ip);
	spawn(run_proxy, m);
}

void
kit_silence(void)
{
	__atomic_fetch_add(&silences, 1, __ATOMIC_RELEASE);
}

/* Targets. */

static void
answer_byte(size_t i, char *c)
{
	*c = (char)('a' + i % 23);
}

uint64_t
kit_answer_sum(size_t bytes)
{
	uint64_t sum = 0;
	size_t i;
	char c;

	for (i = 0; i < bytes; i++) {
		answer_byte(i, &c);
		sum = kit_sum(sum, &c, 1);
	}
	return sum;
}

bool
kit_target_accepts(
    struct kit_machine *m, struct kit_conn *c, struct kit_head *head)
{
	char expected[64], id[64];

	kit_header(head, "Request-Id", id, sizeof(id));
	if (kit_header(head, "Expected-Instance", expected, sizeof(expected)) &&
	    strcmp(expected, m->id) != 0) {
		kit_record("target %s answers 421 to %s", m->id, id);
		kit_printf(c,
		    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
		    "Request-Id: %s\r\nContent-Length: 0\r\n"
		    "Connection: close\r\n\r\n",
		    m->id, id);
		return false;
	}
	return true;
}

bool
kit_target_read_body(struct kit_conn *c, const struct kit_head *head,
    uint64_t *bytes, uint64_t *sum)
{
	struct kit_answer a;
	double until = clock_s() + 30;
	int ok = 1;

	memset(&a, 0, sizeof(a));
	if (head->chunked)
		ok = read_chunks(c, &a, until);
	else if (head->content_length > 0)
		ok = read_exactly(c, &a, (uint64_t)head->content_length, until);
	*bytes = a.body_bytes;
	*sum = a.body_sum;
	return ok == 1;
}

bool
kit_target_answer(struct kit_machine *m, struct kit_conn *c,
    const struct kit_head *head, size_t answer_bytes)
{
	char id[64], *body = malloc(answer_bytes + 1);
	size_t i;
	bool ok;

	for (i = 0; i < answer_bytes; i++)
		answer_byte(i, &body[i]);
	kit_header(head, "Request-Id", id, sizeof(id));
	ok = kit_printf(c,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		 "Server-Signature: %s.%zu\r\nServer-Load: %u,0,%u\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 id, m->id, answer_bytes, m->running, m->slots, answer_bytes) &&
	    kit_write(c, body, answer_bytes);
	free(body);
	return ok;
}

bool
kit_target_sound(struct kit_machine *m, struct kit_conn *c,
    struct kit_head *head, double work_s, size_t answer_bytes)
{
	uint64_t bytes, sum;
	char id[64];
	bool ok;

	if (!kit_target_accepts(m, c, head))
		return false;
	kit_header(head, "Request-Id", id, sizeof(id));
	if (!kit_target_read_body(c, head, &bytes, &sum))
		return false;
	kit_note_run(m, id);
	kit_record(
	    "target %s runs %s %s %s", m->id, id, head->method, head->path);
	__atomic_fetch_add(&m->running, 1, __ATOMIC_RELAXED);
	kit_sleep(work_s);
	__atomic_fetch_sub(&m->running, 1, __ATOMIC_RELAXED);
	ok = kit_target_answer(m, c, head, answer_bytes);
	kit_record("target %s has answered %s%s", m->id, id,
	    ok ? "" : ", but the connection is gone");
	return ok;
}

void
kit_beat(struct kit_machine *m)
{
	char key[64], value[512];

	m->sequence++;
	snprintf(key, sizeof(key), "servers/%s", m->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
	    "\"cold_remaining_s\":0,\"sequence\":%llu,"
	    "\"born\":1790000000000}",
	    m->service, m->ip, kit_ports.app, m->home, m->slots,
	    m->draining ? "draining" : "ready",
	    (unsigned long long)m->sequence);
	kit_put(key, value);
}

static void *
beat_loop(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		kit_sleep(1.5);
		for (i = 0; i < kit_nmachines; i++) {
			if (kit_machines[i].beats)
				kit_beat(&kit_machines[i]);
		}
	}
	return NULL;
}

/* Daemons. */

static const char *
field(const struct kit_machine *m, const char *name, char *text, size_t size)
{
	if (strcmp(name, "service") == 0)
		snprintf(text, size, "%s", m->service);
	else if (strcmp(name, "ip") == 0)
		snprintf(text, size, "%s", m->ip);
	else if (strcmp(name, "zone") == 0)
		snprintf(text, size, "%s", m->home);
	else if (strcmp(name, "region") == 0)
		snprintf(text, size, "tas");
	else if (strcmp(name, "listen.outbound") == 0)
		snprintf(text, size, "%s:%d", m->ip, kit_ports.outbound);
	else if (strcmp(name, "listen.inbound") == 0)
		snprintf(text, size, "%s:%d",
		    m->peer_ip[0] != '\0' ? m->peer_ip : m->ip,
		    kit_ports.inbound);
	else if (strcmp(name, "listen.ready") == 0)
		snprintf(text, size, "%s:%d", m->ip, kit_ports.ready);
	else if (strcmp(name, "internal_ports.0") == 0)
		snprintf(text, size, "%d", kit_ports.internal);
	else if (strcmp(name, "app_addr") == 0)
		snprintf(text, size, "%s:%d", m->ip, kit_ports.app);
	else if (strcmp(name, "platform.address") == 0)
		snprintf(text, size, "%s:%d", store_ip, kit_ports.store);
	else if (strcmp(name, "bounds.config_apply_s") == 0)
		snprintf(text, size, "2");
	else if (strcmp(name, "bounds.retry_budget_ratio") == 0)
		snprintf(text, size, "0.2");
	else if (strcmp(name, "bounds.budget_window_s") == 0)
		snprintf(text, size, "10");
	else if (strcmp(name, "bounds.grace_s") == 0)
		snprintf(text, size, "6");
	else
		return NULL;
	return text;
}

/* Fills in the template of the deploy file, for the fields that it uses. */
static void
write_settings(const struct kit_machine *m)
{
	FILE *in = fopen("deploy/loomd.jsonc", "r");
	FILE *out = fopen(m->settings, "w");
	char line[4096], name[64], text[256], *at, *open, *close;
	bool skip = false, json;

	if (in == NULL || out == NULL)
		kit_fail("cannot write %s", m->settings);
	while (fgets(line, sizeof(line), in) != NULL) {
		if (strstr(line, "{{#zones}}") != NULL) {
			fprintf(out,
			    "\t\"data_centres\": [\"tas-hobart=tas\","
			    "\"tas-launceston=tas\",\"tas-burnie=tas\"],\n");
			continue;
		}
		if (strncmp(line, "{{#", 3) == 0) {
			sscanf(line + 3, "%63[^}]", name);
			skip = field(m, name, text, sizeof(text)) == NULL;
			continue;
		}
		if (strncmp(line, "{{/", 3) == 0) {
			skip = false;
			continue;
		}
		if (skip)
			continue;
		for (at = line; (open = strstr(at, "{{")) != NULL;
		     at = close + 2) {
			close = strstr(open, "}}");
			fwrite(at, 1, (size_t)(open - at), out);
			*close = '\0';
			json = strstr(open, "|json") != NULL;
			sscanf(open + 2, "%63[^|}]", name);
			if (field(m, name, text, sizeof(text)) == NULL)
				kit_fail("no field %s", name);
			fprintf(out, json ? "\"%s\"" : "%s", text);
		}
		fputs(at, out);
	}
	fclose(in);
	fclose(out);
}

void
kit_start_daemon(struct kit_machine *m)
{
	char program[] = "target/bin/loomd-platform";
	char *argv[] = { program, m->settings, NULL };
	FILE *log;
	pid_t pid;

	log = fopen(m->log, "a");
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fileno(log), STDOUT_FILENO);
		dup2(fileno(log), STDERR_FILENO);
		execv(program, argv);
		_exit(127);
	}
	fclose(log);
	m->pid = pid;
	kit_record("daemon of %s (%s) starts as process %d", m->service, m->ip,
	    (int)pid);
}

bool
kit_is_ready(const struct kit_machine *m)
{
	struct kit_conn *c = kit_connect(NULL, m->ip, kit_ports.ready);
	struct kit_answer a;

	if (c == NULL)
		return false;
	kit_printf(c, "GET /readiness HTTP/1.1\r\nHost: %s\r\n\r\n", m->ip);
	kit_read_answer(c, &a, false, 1);
	kit_close(c);
	return a.status == 200;
}

bool
kit_has_ended(struct kit_machine *m)
{
	int status;

	if (m->pid == 0)
		return true;
	if (waitpid(m->pid, &status, WNOHANG) != m->pid)
		return false;
	if (WIFSIGNALED(status))
		kit_record("daemon of %s (%s) was ended by signal %d",
		    m->service, m->ip, WTERMSIG(status));
	else
		kit_record("daemon of %s (%s) ended with status %d", m->service,
		    m->ip, WEXITSTATUS(status));
	m->pid = 0;
	return true;
}

int
kit_add_machine(const char *service, const char *zone, unsigned slots)
{
	struct kit_machine *m = &kit_machines[kit_nmachines];

	snprintf(m->service, sizeof(m->service), "%s", service);
	snprintf(m->ip, sizeof(m->ip), "%s.%d", net, 10 + kit_nmachines);
	snprintf(m->id, sizeof(m->id), "i-%08x", 0x7f3a9100 + kit_nmachines);
	snprintf(m->settings, sizeof(m->settings), "%s/settings-%d", kit_folder,
	    kit_nmachines);
	snprintf(
	    m->log, sizeof(m->log), "%s/log-%d", kit_folder, kit_nmachines);
	m->home = zone;
	m->slots = slots;
	return kit_nmachines++;
}

static bool
is_free(const char *ip, int port)
{
	int fd = listen_on(ip, port);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

static void
pick_addresses(void)
{
	int tries, i;
	bool ok;

	srand((unsigned)getpid() ^ (unsigned)time(NULL));
	for (tries = 0; tries < 100; tries++) {
		snprintf(net, sizeof(net), "127.%d.%d", 100 + rand() % 100,
		    1 + rand() % 250);
		i = 10000 + rand() % 20000;
		kit_ports = (struct kit_ports){ .outbound = i,
			.inbound = i + 1,
			.ready = i + 2,
			.app = i + 3,
			.internal = i + 4,
			.store = i + 5 };
		snprintf(store_ip, sizeof(store_ip), "%s.1", net);
		ok = true;
		for (i = 0; i < 6 && ok; i++)
			ok = is_free(store_ip, kit_ports.outbound + i);
		if (ok)
			return;
	}
	kit_fail("no free ports");
}

void
kit_begin(const char *path)
{
	const char *trouble = getenv("TROUBLE");
	const char *folder = getenv("KIT_FOLDER");
	int fd;

	signal(SIGPIPE, SIG_IGN);
	started = clock_s();
	record = fopen(path, "w");
	if (record == NULL) {
		fprintf(stderr, "cannot write %s\n", path);
		exit(2);
	}
	kit_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	kit_record("%s",
	    kit_trouble ? "with the disruption" : "without the disruption");
	if (folder == NULL)
		kit_fail("KIT_FOLDER names no temporary folder");
	snprintf(kit_folder, sizeof(kit_folder), "%s", folder);
	pick_addresses();
	fd = listen_on(store_ip, kit_ports.store);
	if (fd < 0)
		kit_fail("no store");
	start_listener(fd, NULL);
}

void
kit_start(void)
{
	struct kit_machine *m;
	double until;
	int i, ready;

	for (i = 0; i < kit_nmachines; i++) {
		m = &kit_machines[i];
		m->listen_fd = listen_on(m->ip, kit_ports.app);
		if (m->listen_fd < 0)
			kit_fail("no target at %s", m->ip);
		start_listener(m->listen_fd, m);
		m->beats = true;
		kit_beat(m);
		write_settings(m);
		kit_start_daemon(m);
	}
	spawn(beat_loop, NULL);
	until = kit_now() + 30;
	do {
		kit_sleep(0.1);
		for (i = 0, ready = 0; i < kit_nmachines; i++)
			ready += kit_is_ready(&kit_machines[i]);
	} while (ready < kit_nmachines && kit_now() < until);
	if (ready < kit_nmachines)
		kit_fail(
		    "only %d of %d daemons are ready", ready, kit_nmachines);
	kit_sleep(1.5);
	kit_record("%d daemons are ready", ready);
}

void
kit_end(void)
{
	double until;
	int i;

	for (i = 0; i < kit_nmachines; i++) {
		if (kit_machines[i].pid > 0)
			kill(kit_machines[i].pid, SIGKILL);
	}
	until = kit_now() + 5;
	for (i = 0; i < kit_nmachines; i++) {
		while (kit_machines[i].pid > 0 && kit_now() < until) {
			if (waitpid(kit_machines[i].pid, NULL, WNOHANG) != 0)
				kit_machines[i].pid = 0;
			else
				kit_sleep(0.02);
		}
	}
}
