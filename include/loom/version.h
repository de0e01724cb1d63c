#ifndef LOOM_VERSION_H
#define LOOM_VERSION_H

/* Version of all programs in this source tree. */
#define LOOM_VERSION "0.1.0"

#endif
