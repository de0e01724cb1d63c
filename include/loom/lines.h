#ifndef LOOM_LINES_H
#define LOOM_LINES_H

/*
 * Lines of logs for programs that read them.
 */

#include <stdbool.h>

/*
 * Hand each line of the files to take, or of the standard input when none is
 * named.  A file that cannot be read is told on the standard error under the
 * program's name, and the others are read; false then.
 */
bool loom_lines_read(const char *program, const char *const *files, int n,
    void (*take)(void *arg, const char *line), void *arg);

#endif
