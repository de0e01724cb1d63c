#ifndef BENCH_PATTERNS_H
#define BENCH_PATTERNS_H

#include <stddef.h>

#include "model.h"

extern const struct model_firm model_firms[];
extern const size_t model_nfirms;
extern const struct model_pattern model_patterns[];
extern const size_t model_npatterns;

#endif
