/*
 * Lines of logs; see the header.
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loom/lines.h"

static void
read_stream(FILE *stream, void (*take)(void *arg, const char *line), void *arg)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, stream) >= 0)
		take(arg, line);
	free(line);
}

bool
loom_lines_read(const char *program, const char *const *files, int n,
    void (*take)(void *arg, const char *line), void *arg)
{
	bool ok = true;
	FILE *stream;
	int i;

	if (n == 0)
		read_stream(stdin, take, arg);
	for (i = 0; i < n; i++) {
		stream = fopen(files[i], "r");
		if (stream == NULL) {
			fprintf(stderr, "%s: %s: cannot be read: %s\n", program,
			    files[i], strerror(errno));
			ok = false;
			continue;
		}
		read_stream(stream, take, arg);
		fclose(stream);
	}
	return ok;
}
