#ifndef LOOM_HTTP_GET_H
#define LOOM_HTTP_GET_H

/*
 * A blocking HTTP GET for the command-line tools.
 */

#include <glib.h>

#include "loom/result.h"

/* Returns the body of a 200 response, owned by the caller (g_free); NULL with
 * error LOOM_HTTP_GET otherwise.  url is "http://ip:port/path". */
char *loom_http_get(const char *url, long timeout_ms, GError **error);

#endif
