/*
 * Reads log files line by line; see the header.
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loom/lines.h"

static void
read_stream(
    FILE *stream, void (*handle_line)(void *arg, const char *line), void *arg)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, stream) >= 0)
		handle_line(arg, line);
	free(line);
}

bool
loom_lines_read(const char *program, const char *const *files, int n,
    void (*handle_line)(void *arg, const char *line), void *arg)
{
	bool ok = true;
	FILE *stream;
	int i;

	if (n == 0)
		read_stream(stdin, handle_line, arg);
	for (i = 0; i < n; i++) {
		stream = fopen(files[i], "r");
		if (stream == NULL) {
			fprintf(stderr, "%s: %s: cannot be read: %s\n", program,
			    files[i], strerror(errno));
			ok = false;
			continue;
		}
		read_stream(stream, handle_line, arg);
		fclose(stream);
	}
	return ok;
}
