#include "load/token_bucket.h"

#define US_PER_S 1e6

void
load_token_bucket_init(struct load_token_bucket *bucket, double rate_per_s,
    double burst, uint64_t now_us)
{
	*bucket = (struct load_token_bucket){
		.rate_per_s = rate_per_s,
		.burst = burst,
		.level = burst,
		.updated_us = now_us,
	};
}

bool
load_token_bucket_try_take(struct load_token_bucket *bucket, uint64_t now_us)
{
	bucket->level += (double)(now_us - bucket->updated_us) *
	    bucket->rate_per_s / US_PER_S;
	bucket->updated_us = now_us;
	if (bucket->level > bucket->burst)
		bucket->level = bucket->burst;
	if (bucket->level < 1)
		return false;
	bucket->level -= 1;
	return true;
}
