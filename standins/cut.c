/*
 * Cuts a process off from others, as a network partition does: preloaded into
 * it (LD_PRELOAD), it holds up the traffic on connections while the file
 * CUT_FILE exists. Connections to or from the ports in CUT_ALLOWED, separated
 * by spaces, are not concerned; with "open" all that are open stay so, and no
 * new one is accepted.
 */
#include <dlfcn.h>
#include <errno.h>
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

static bool is_held_up(int fd)
{
	if (!is_cut() || is_allowed(fd))
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

	return is_held_up(fd) ? -1 : next(fd, iov, n);
}

ssize_t writev(int fd, const struct iovec *iov, int n)
{
	ssize_t (*next)(int, const struct iovec *, int) =
		(ssize_t(*)(int, const struct iovec *, int))dlsym(RTLD_NEXT,
								  "writev");

	return is_held_up(fd) ? -1 : next(fd, iov, n);
}

int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	int (*next)(int, const struct sockaddr *, socklen_t) =
		(int (*)(int, const struct sockaddr *, socklen_t))dlsym(
			RTLD_NEXT, "connect");

	if (!is_cut() ||
	    is_allowed_address((const struct sockaddr_in *)address))
		return next(fd, address, len);
	errno = EHOSTUNREACH;
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
