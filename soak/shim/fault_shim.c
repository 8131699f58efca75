/* Injects operating system faults into processes that the soak starts with LD_PRELOAD.
 *
 * The control file that FAULT_SHIM_CONTROL names is mapped: it sets which faults are on, and counts those that
 * fired. The shim reaches calls that go through the C library. It does not reach system calls that a program makes
 * past the library, such as the descriptor passing of the rustix crate, clocks that are read through the vDSO
 * without the library, and threads that the C library creates for itself.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum counter { CLOCK, DISK, ACCEPT, CONNECT, SOCKET, SHORT_IO, CONFIG, THREAD, COUNTERS };

/* The layout of the control file, which soak/src/shim.rs writes and reads. */
struct control {
    int64_t wall_offset_ms;
    uint32_t disk_per_mille;
    uint32_t network_per_mille;
    uint32_t short_per_mille;
    uint32_t config_per_mille;
    uint32_t thread_per_mille;
    uint32_t reserved;
    uint64_t fired[COUNTERS];
};

static struct control *control;
static __thread uint64_t random_state;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    if (path == NULL) return;
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = real_open(path, O_RDWR);
    if (fd < 0) return;
    void *block = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (block != MAP_FAILED) control = block;
}

/* A random number below a bound, from a xorshift generator of each thread. */
static uint32_t draw_below(uint32_t bound) {
    if (random_state == 0) random_state = (uint64_t)getpid() * 0x9e3779b97f4a7c15ull ^ (uintptr_t)&random_state;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 33) % bound;
}

/* Decides whether a fault fires at this call, and counts it if so. */
static int fires(enum counter counter, uint32_t per_mille) {
    if (control == NULL || per_mille == 0 || draw_below(1000) >= per_mille) return 0;
    __atomic_fetch_add(&control->fired[counter], 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail_with(const int *errors, uint32_t count) {
    errno = errors[draw_below(count)];
    return -1;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS};
static const int connect_errors[] = {ENETUNREACH, EADDRNOTAVAIL, ENOBUFS};
static const int socket_errors[] = {ENFILE, EMFILE, ENOBUFS};
static const int disk_errors[] = {ENOSPC, EIO};
static const int config_errors[] = {EIO, ENFILE, EMFILE};
static const int bind_errors[] = {EADDRNOTAVAIL, ENOBUFS};
static const int descriptor_errors[] = {ENFILE, EMFILE};

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*real)(clockid_t, struct timespec *);
    if (real == NULL) real = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL && control->wall_offset_ms != 0) {
        time->tv_sec += control->wall_offset_ms / 1000;
        __atomic_fetch_add(&control->fired[CLOCK], 1, __ATOMIC_RELAXED);
    }
    return result;
}

/* Opening the conductor's configuration fails, as if no descriptor were left or the disk had an error. */
static int config_fails(const char *path) {
    return control != NULL && strstr(path, "/config.json") != NULL && fires(CONFIG, control->config_per_mille);
}

/* Calls on files of the conductor's state folder fail, as if the disk were full or had an error. */
static int disk_fails(const char *path) {
    return control != NULL && strstr(path, "/frosttrail-") != NULL && fires(DISK, control->disk_per_mille);
}

#define OPEN(name)                                                                  \
    int name(const char *path, int flags, ...) {                                    \
        static int (*real)(const char *, int, ...);                                 \
        if (real == NULL) real = dlsym(RTLD_NEXT, #name);                           \
        va_list arguments;                                                          \
        va_start(arguments, flags);                                                 \
        mode_t mode = va_arg(arguments, mode_t);                                    \
        va_end(arguments);                                                          \
        if (disk_fails(path)) return fail_with(disk_errors, 2);                     \
        if (config_fails(path)) return fail_with(config_errors, 3);                 \
        return real(path, flags, mode);                                             \
    }
OPEN(open)
OPEN(open64)

int rename(const char *from, const char *to) {
    static int (*real)(const char *, const char *);
    if (real == NULL) real = dlsym(RTLD_NEXT, "rename");
    if (disk_fails(to)) return fail_with(disk_errors, 2);
    return real(from, to);
}

int unlink(const char *path) {
    static int (*real)(const char *);
    if (real == NULL) real = dlsym(RTLD_NEXT, "unlink");
    if (disk_fails(path)) return fail_with(disk_errors, 2);
    return real(path);
}

int mkdir(const char *path, mode_t mode) {
    static int (*real)(const char *, mode_t);
    if (real == NULL) real = dlsym(RTLD_NEXT, "mkdir");
    if (disk_fails(path)) return fail_with(disk_errors, 2);
    return real(path, mode);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (real == NULL) real = dlsym(RTLD_NEXT, "accept4");
    if (control != NULL && fires(ACCEPT, control->network_per_mille)) return fail_with(accept_errors, 4);
    return real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (real == NULL) real = dlsym(RTLD_NEXT, "connect");
    int is_inet = address->sa_family == AF_INET;
    if (is_inet && control != NULL && fires(CONNECT, control->network_per_mille)) return fail_with(connect_errors, 3);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (real == NULL) real = dlsym(RTLD_NEXT, "socket");
    int is_inet = domain == AF_INET;
    if (is_inet && control != NULL && fires(SOCKET, control->network_per_mille)) return fail_with(socket_errors, 3);
    return real(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (real == NULL) real = dlsym(RTLD_NEXT, "bind");
    int is_inet = address->sa_family == AF_INET;
    if (is_inet && control != NULL && fires(SOCKET, control->network_per_mille)) return fail_with(bind_errors, 2);
    return real(fd, address, length);
}

int epoll_create1(int flags) {
    static int (*real)(int);
    if (real == NULL) real = dlsym(RTLD_NEXT, "epoll_create1");
    if (control != NULL && fires(SOCKET, control->network_per_mille)) return fail_with(descriptor_errors, 2);
    return real(flags);
}

int eventfd(unsigned int count, int flags) {
    static int (*real)(unsigned int, int);
    if (real == NULL) real = dlsym(RTLD_NEXT, "eventfd");
    if (control != NULL && fires(SOCKET, control->network_per_mille)) return fail_with(descriptor_errors, 2);
    return real(count, flags);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *), void *argument) {
    static int (*real)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    if (real == NULL) real = dlsym(RTLD_NEXT, "pthread_create");
    if (control != NULL && fires(THREAD, control->thread_per_mille)) return EAGAIN;
    return real(thread, attributes, run, argument);
}

/* The length for a read or write of a socket: at most 64 bytes if the fault fires. */
static size_t shorten_length(size_t length) {
    if (length < 2 || control == NULL || !fires(SHORT_IO, control->short_per_mille)) return length;
    return 1 + draw_below((uint32_t)(length > 64 ? 64 : length - 1));
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    if (real == NULL) real = dlsym(RTLD_NEXT, "recv");
    return real(fd, bytes, shorten_length(length), flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    if (real == NULL) real = dlsym(RTLD_NEXT, "send");
    return real(fd, bytes, shorten_length(length), flags);
}
