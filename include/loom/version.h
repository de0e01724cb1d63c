#ifndef LOOM_VERSION_H
#define LOOM_VERSION_H

/* Of all programs of one source tree. */
#define LOOM_VERSION "0.1.0"

#endif
