#ifndef LOOM_HTTP_LISTEN_H
#define LOOM_HTTP_LISTEN_H

/* New connections to a listening socket are no longer made; those that were go
 * on. */
void listen_hold_off(int fd);

#endif
