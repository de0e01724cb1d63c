/*
 * Listening sockets.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/listen.h"
#include "loom/log.h"
#include "loom/server.h"

#define LISTEN_BACKLOG 1024

/* Offset of the flags byte in a TCP header, and the SYN flag in it. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_BYTE_SYN 0x02

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || end == colon + 1 || port < 0 || port > UINT16_MAX)
		return false;
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

bool
loom_server_parse_address(
    const char *text, struct sockaddr_in *address, GError **error)
{
	if (parse_address(text, address))
		return true;
	return loom_set_error(
	    error, LOOM_LISTEN, "'%s' is not an ip:port address", text);
}

int
loom_server_listen(const char *text, GError **error)
{
	struct sockaddr_in address;
	int fd = -1, on = 1;

	if (!loom_server_parse_address(text, &address, error))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto error;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		goto error;
	if (listen(fd, LISTEN_BACKLOG) != 0)
		goto error;
	return fd;

error:
	loom_set_error(error, LOOM_LISTEN, "%s: %s", text, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

uint16_t
loom_server_port(int listen_fd)
{
	struct sockaddr_in address = { .sin_port = 0 };
	socklen_t len = sizeof(address);

	if (getsockname(listen_fd, (struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}

/*
 * Attaches a socket filter that drops each SYN. Without it, a connection that
 * the kernel establishes between the last accept() and the close of the socket
 * would be reset, and its caller would see a request cut off.  Handshakes that
 * have already begun complete; those connections are accepted and served before
 * the close.
 */
void
listen_drop_new_connections(int fd)
{
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_BYTE_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	const struct sock_fprog program = {
		.len = G_N_ELEMENTS(drop_syn),
		.filter = drop_syn,
	};

	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)) != 0)
		loom_log(LOOM_LOG_WARN, "http", LOOM_OK,
		    "cannot attach the filter that drops new connections: %s",
		    g_strerror(errno));
}
