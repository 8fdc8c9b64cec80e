/*
 * Cuts a process off from others, as a network partition does: preloaded into
 * it (LD_PRELOAD), it holds up the traffic on connections while the file
 * CUT_FILE exists. Connections to or from the ports in CUT_ALLOWED, separated
 * by spaces, are not concerned; with "open" all that are open stay so, and no
 * new one is accepted.
 *
 * The file CUT_PORTS, if it exists, names ports to which the process's own
 * connections are held up, each between spaces: PORT both ways, PORTw what it
 * sends, PORTr what it receives. No new one is established then. What was sent
 * before arrives when the cut ends, as TCP would send it again.
 *
 * With CUT_REFUSES set, connections that the cut prevents are refused, as if no
 * process listened at the address.
 */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

/* A connection that is held up is ready all the time: keeps the process from
 * spinning. */
#define HELD_UP_US 500

/* Longest list of ports in CUT_PORTS. */
#define LIST_BYTES 8192

#define BOTH_WAYS ""
#define SENDING	  "w"
#define RECEIVING "r"

static bool is_cut(void)
{
	const char *file = getenv("CUT_FILE");

	return file && access(file, F_OK) == 0;
}

static bool is_allowed_port(in_port_t port)
{
	char list[256];
	char text[16];

	snprintf(list, sizeof(list), " %s ", getenv("CUT_ALLOWED"));
	snprintf(text, sizeof(text), " %u ", ntohs(port));
	return strstr(list, text) || strcmp(list, " open ") == 0;
}

static bool is_allowed_address(const struct sockaddr_in *address)
{
	return address->sin_family != AF_INET ||
	       is_allowed_port(address->sin_port);
}

/* Return: true for what is not a connection, too. */
static bool is_allowed(int fd)
{
	struct sockaddr_in near;
	struct sockaddr_in far;
	socklen_t near_len = sizeof(near);
	socklen_t far_len = sizeof(far);

	if (getsockname(fd, (struct sockaddr *)&near, &near_len) < 0 ||
	    getpeername(fd, (struct sockaddr *)&far, &far_len) < 0)
		return true;
	return is_allowed_address(&near) || is_allowed_address(&far);
}

/* Return: true if the list names the port with that suffix. */
static bool has_entry(const char *list, in_port_t port, const char *way)
{
	char text[16];

	snprintf(text, sizeof(text), " %u%s ", ntohs(port), way);
	return strstr(list, text) != NULL;
}

/* Return: false without a list. */
static bool read_list(char *list, size_t size)
{
	const char *file = getenv("CUT_PORTS");
	int fd = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
	ssize_t n;

	if (fd < 0)
		return false;
	n = read(fd, list, size - 1);
	list[n > 0 ? n : 0] = 0;
	close(fd);
	return n > 0;
}

static bool is_far_end_cut(int fd, const char *way)
{
	char list[LIST_BYTES];
	struct sockaddr_in far;
	socklen_t len = sizeof(far);

	return read_list(list, sizeof(list)) &&
	       getpeername(fd, (struct sockaddr *)&far, &len) == 0 &&
	       far.sin_family == AF_INET &&
	       (has_entry(list, far.sin_port, BOTH_WAYS) ||
		has_entry(list, far.sin_port, way));
}

static bool is_unreachable(const struct sockaddr_in *to)
{
	char list[LIST_BYTES];

	if (to->sin_family != AF_INET)
		return false;
	if (is_cut() && !is_allowed_address(to))
		return true;
	return read_list(list, sizeof(list)) &&
	       (has_entry(list, to->sin_port, BOTH_WAYS) ||
		has_entry(list, to->sin_port, SENDING) ||
		has_entry(list, to->sin_port, RECEIVING));
}

static bool is_held_up(int fd, const char *way)
{
	if ((!is_cut() || is_allowed(fd)) && !is_far_end_cut(fd, way))
		return false;
	usleep(HELD_UP_US);
	errno = EAGAIN;
	return true;
}

ssize_t readv(int fd, const struct iovec *iov, int n)
{
	ssize_t (*next)(int, const struct iovec *, int) =
		(ssize_t(*)(int, const struct iovec *, int))dlsym(RTLD_NEXT,
								  "readv");

	return is_held_up(fd, RECEIVING) ? -1 : next(fd, iov, n);
}

ssize_t writev(int fd, const struct iovec *iov, int n)
{
	ssize_t (*next)(int, const struct iovec *, int) =
		(ssize_t(*)(int, const struct iovec *, int))dlsym(RTLD_NEXT,
								  "writev");

	return is_held_up(fd, SENDING) ? -1 : next(fd, iov, n);
}

int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	int (*next)(int, const struct sockaddr *, socklen_t) =
		(int (*)(int, const struct sockaddr *, socklen_t))dlsym(
			RTLD_NEXT, "connect");

	if (!is_unreachable((const struct sockaddr_in *)address))
		return next(fd, address, len);
	errno = getenv("CUT_REFUSES") ? ECONNREFUSED : EHOSTUNREACH;
	return -1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *len, int flags)
{
	int (*next)(int, struct sockaddr *, socklen_t *, int) =
		(int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(
			RTLD_NEXT, "accept4");
	struct sockaddr_in near;
	socklen_t near_len = sizeof(near);

	if (!is_cut() ||
	    getsockname(fd, (struct sockaddr *)&near, &near_len) < 0)
		return next(fd, address, len, flags);
	if (strcmp(getenv("CUT_ALLOWED"), "open") != 0 &&
	    is_allowed_address(&near))
		return next(fd, address, len, flags);
	usleep(HELD_UP_US);
	errno = EAGAIN;
	return -1;
}
