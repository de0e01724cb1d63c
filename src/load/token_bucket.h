#ifndef LOOM_LOAD_TOKEN_BUCKET_H
#define LOOM_LOAD_TOKEN_BUCKET_H

/*
 * Token bucket that serves as the reference for a team's granted rate.  It is
 * given the team's attempts in the order in which they were sent.  A refusal
 * because of the team's rate is wrongful if this bucket had a token for it.
 */

#include <stdbool.h>
#include <stdint.h>

struct load_token_bucket {
	double rate_per_s;
	double burst;
	double level; /* tokens */
	uint64_t updated_us; /* when level was computed */
};

/* Starts with a full bucket at now_us. */
void load_token_bucket_init(struct load_token_bucket *, double rate_per_s,
    double burst, uint64_t now_us);

/* Takes a token; returns false if there is none. */
bool load_token_bucket_try_take(struct load_token_bucket *, uint64_t now_us);

#endif
