/* Preloaded into a process under test: every second accept call fails with EMFILE, as if no file descriptor were left. */
#define _GNU_SOURCE
#include <errno.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

static int calls;

static int fails(void) {
    if (__sync_add_and_fetch(&calls, 1) % 2 == 0) {
        return 0;
    }
    errno = EMFILE;
    return 1;
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    return fails() ? -1 : (int) syscall(SYS_accept4, listener, address, length, flags);
}

int accept(int listener, struct sockaddr *address, socklen_t *length) {
    return accept4(listener, address, length, 0);
}
