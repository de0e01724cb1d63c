#ifndef LOOM_LOAD_BUCKET_H
#define LOOM_LOAD_BUCKET_H

/*
 * One ideal token bucket, which sees a team's requests in the order in which
 * they were sent.  A request that it lets in and that is refused all the same
 * because of the team's rate was refused wrongly.
 */

#include <stdbool.h>
#include <stdint.h>

struct load_bucket {
	double rate_per_s;
	double burst;
	double level; /* tokens */
	uint64_t at_us; /* when level was right */
};

/* Full at now_us. */
void load_bucket_init(
    struct load_bucket *, double rate_per_s, double burst, uint64_t now_us);

/* Whether a request may go now; takes its token. */
bool load_bucket_take(struct load_bucket *, uint64_t now_us);

#endif
