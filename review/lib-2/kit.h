#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

/*
 * A small deployment for the cases of the review: the daemons as separate
 * processes, and stand-ins for the store, the targets and the clients.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define KIT_MACHINES_MAX 16
#define KIT_HEAD_MAX 65536
#define KIT_HOST "hulo84.example"
#define KIT_KEY "6wsjnbanfqasnmgkcuyj"

struct kit_machine {
	char service[32];
	char ip[32];
	/* where the daemon listens for others, if a proxy of the case has
	 * ip; "" otherwise */
	char peer_ip[32];
	char id[32]; /* of the target */
	char settings[256];
	char log[256];
	pid_t pid; /* of the daemon; 0: none runs */
	int listen_fd; /* of the target */
	unsigned running;
	unsigned slots;
	uint64_t sequence;
	bool beats;
	bool draining;
	const char *home; /* the zone */
};

struct kit_ports {
	int outbound, inbound, ready, app, internal, store;
};

/* A connection with a read buffer. */
struct kit_conn {
	int fd;
	char buf[65536];
	size_t begin, end;
	bool broken; /* reset, or no answer in time */
	bool eof;
};

struct kit_head {
	char text[KIT_HEAD_MAX];
	char method[16];
	char path[512];
	int status;
	long long content_length; /* -1: none */
	bool chunked;
	bool close;
};

struct kit_answer {
	int status; /* 0: none */
	bool whole;
	bool reset; /* the connection broke */
	bool closed; /* the daemon closed the connection */
	bool timed_out;
	bool is_signed;
	uint64_t body_bytes;
	uint64_t body_sum;
	char request_id[64]; /* as echoed */
	char code[32]; /* of a refusal */
	char retry_after[32];
	char body_start[128];
};

extern struct kit_machine kit_machines[KIT_MACHINES_MAX];
extern int kit_nmachines;
extern struct kit_ports kit_ports;
extern char kit_folder[256];
extern bool kit_trouble; /* false with TROUBLE=0 */

double kit_now(void); /* seconds since the start */
void kit_sleep(double s);
void kit_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void kit_fail(const char *fmt, ...)
    __attribute__((format(printf, 1, 2), noreturn)); /* exit 2 */

/* Opens RECORD, picks addresses and starts the store. */
void kit_begin(const char *record);
int kit_add_machine(const char *service, const char *zone, unsigned slots);
void kit_put(const char *key, const char *value);
void kit_delete(const char *key);
/* Routes: /st/ safe to desk, /ord/ unsafe to orders, /up/ upload to intake. */
void kit_put_config(void);
/* Passes on what others send to the daemon, on connections of its own; to be
 * called before kit_start(). */
void kit_add_proxy(struct kit_machine *);
/* From now on nothing passes on the connections that are open through proxies;
 * they stay open, and new ones work. */
void kit_silence(void);
/* Starts targets and daemons, and waits until all daemons are ready. */
void kit_start(void);
void kit_start_daemon(struct kit_machine *);
bool kit_is_ready(const struct kit_machine *);
/* Whether the process has ended; its status is recorded. */
bool kit_has_ended(struct kit_machine *);
void kit_beat(struct kit_machine *); /* writes the target's entry now */
/* Ends all processes. */
void kit_end(void);

/* What a target does with a request whose head was read; false closes the
 * connection.  Set before kit_start(). */
typedef bool (*kit_target_fn)(
    struct kit_machine *, struct kit_conn *, struct kit_head *);
extern kit_target_fn kit_target;
/* A sound target: checks the instance, reads the body, runs the request for
 * work_s and answers with answer_bytes. */
bool kit_target_sound(struct kit_machine *, struct kit_conn *,
    struct kit_head *, double work_s, size_t answer_bytes);
/* Its parts. */
bool kit_target_accepts(
    struct kit_machine *, struct kit_conn *, struct kit_head *);
bool kit_target_read_body(
    struct kit_conn *, const struct kit_head *, uint64_t *bytes, uint64_t *sum);
bool kit_target_answer(struct kit_machine *, struct kit_conn *,
    const struct kit_head *, size_t answer_bytes);
/* The sum that an answer of so many bytes has. */
uint64_t kit_answer_sum(size_t bytes);
uint64_t kit_sum(uint64_t sum, const void *data, size_t len);

/* Runs: what targets ran, by id. */
void kit_note_run(const struct kit_machine *, const char *id);
int kit_runs(const char *id);

/* HTTP */
struct kit_conn *kit_connect(const char *from, const char *ip, int port);
struct kit_conn *kit_conn_new(int fd);
void kit_close(struct kit_conn *);
bool kit_write(struct kit_conn *, const void *data, size_t len);
bool kit_printf(struct kit_conn *, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
bool kit_read_head(struct kit_conn *, struct kit_head *, double timeout_s);
ssize_t kit_read(struct kit_conn *, void *, size_t, double timeout_s);
bool kit_header(
    const struct kit_head *, const char *name, char *value, size_t size);
/* Sends the head of a request; headers are further lines of it. */
void kit_request(struct kit_conn *, const char *method, const char *prefix,
    const char *id, size_t body_bytes, const char *headers);
/* Reads an answer; is_head: without a body. */
void kit_read_answer(
    struct kit_conn *, struct kit_answer *, bool is_head, double timeout_s);
void kit_describe(const struct kit_answer *, char *text, size_t size);

#endif
