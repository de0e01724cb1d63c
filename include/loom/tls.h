#ifndef LOOM_TLS_H
#define LOOM_TLS_H

/*
 * The server's TLS key and certificate.  They are checked before any socket is
 * opened, since libmicrohttpd would report only that it cannot start.
 */

#include <stdbool.h>

#include "loom/result.h"

struct loom_tls_pair {
	char *key; /* owned PEM text, NULL for plain HTTP */
	char *cert; /* owned PEM text */
};

/*
 * Reads both files, or none if both names are NULL. Fails with
 * LOOM_SETTING_MISSING if only one name is NULL, with LOOM_FILE_UNREADABLE, or
 * with LOOM_TLS_PAIR if a file is malformed or the key does not belong to the
 * certificate.
 */
bool loom_tls_load(const char *key_file, const char *cert_file,
    struct loom_tls_pair *, GError **error);
void loom_tls_clear(struct loom_tls_pair *);

#endif
