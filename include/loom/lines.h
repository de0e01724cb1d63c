#ifndef LOOM_LINES_H
#define LOOM_LINES_H

/*
 * Reads log files line by line, for programs that analyse logs.
 */

#include <stdbool.h>

/*
 * Calls handle_line for each line of the files, or of standard input if n is 0.
 * A file that cannot be opened is reported on standard error under the name of
 * the program, and the remaining files are still read; the result is false
 * then.
 */
bool loom_lines_read(const char *program, const char *const *files, int n,
    void (*handle_line)(void *arg, const char *line), void *arg);

#endif
