#ifndef LOOM_HTTP_GET_H
#define LOOM_HTTP_GET_H

/*
 * One blocking GET, for the command-line tools.
 */

#include <glib.h>

#include "loom/result.h"

/* The whole body of a 200 answer, owned by the caller (g_free); NULL with
 * LOOM_HTTP_GET.  url is "http://ip:port/path". */
char *loom_http_get(const char *url, long timeout_ms, GError **error);

#endif
