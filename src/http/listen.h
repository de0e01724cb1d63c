#ifndef LOOM_HTTP_LISTEN_H
#define LOOM_HTTP_LISTEN_H

/* Drops new connection attempts at a listening socket; established connections
 * are still accepted and served. */
void listen_drop_new_connections(int fd);

#endif
