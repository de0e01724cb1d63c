#ifndef LOOM_TLS_H
#define LOOM_TLS_H

/*
 * The key and certificate with which callers are served.  They are looked at
 * before any socket is opened: the HTTP library would say only that it cannot
 * start.
 */

#include <stdbool.h>

#include "loom/result.h"

struct loom_tls_pair {
	char *key; /* owned PEM text, NULL for plain HTTP */
	char *cert; /* owned PEM text */
};

/*
 * Read both files, or none when both names are NULL.  LOOM_SETTING_MISSING
 * when one is, LOOM_FILE_UNREADABLE, LOOM_TLS_PAIR when a file is malformed or
 * the key is not the certificate's.
 */
bool loom_tls_load(const char *key_file, const char *cert_file,
    struct loom_tls_pair *, GError **error);
void loom_tls_clear(struct loom_tls_pair *);

#endif
