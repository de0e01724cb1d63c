#ifndef LOOM_INNER_QUARANTINE_CODEC_H
#define LOOM_INNER_QUARANTINE_CODEC_H

/* Messages about requests that crash upstreams. */

#include "decide/suspects.h"
#include "loom/control.h"

enum quarantine_message {
	QUARANTINE_RECORDS = LOOM_MESSAGE_QUARANTINE_FIRST,
	QUARANTINE_CLEAR, /* a complete answer was received */
	QUARANTINE_LAST = QUARANTINE_CLEAR,
};

#define QUARANTINE_RECORDS_MAX 16
/* Each record has 18 bytes of fingerprint and three scalars. */
#define QUARANTINE_MESSAGE_MAX (QUARANTINE_RECORDS_MAX * 48 + 16)

/* A message cannot quarantine a request for longer than this. */
#define QUARANTINE_REMAINING_MAX_US (UINT64_C(24) * 3600 * 1000000)

struct quarantine_report {
	struct loom_fingerprint fingerprint;
	enum suspect_level level;
	uint8_t crash_count;
	uint64_t remaining_us;
};

size_t quarantine_records_pack(const struct quarantine_report *records,
    uint32_t count, uint8_t out[QUARANTINE_MESSAGE_MAX]);
/* Returns the number of records, or 0 if the message is malformed. */
uint32_t quarantine_records_unpack(const uint8_t *message, size_t len,
    struct quarantine_report records[QUARANTINE_RECORDS_MAX]);

size_t quarantine_clear_pack(const struct loom_fingerprint *fingerprint,
    uint8_t out[QUARANTINE_MESSAGE_MAX]);
bool quarantine_clear_unpack(
    const uint8_t *message, size_t len, struct loom_fingerprint *fingerprint);

#endif
