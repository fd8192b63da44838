/* Preloaded into a process under test: steps its wall clock by the number of seconds in the file that CLOCK_STEP names. */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static long step_seconds(void) {
    const char *name = getenv("CLOCK_STEP");
    FILE *file = name == NULL ? NULL : fopen(name, "r");
    long seconds = 0;
    if (file != NULL) {
        if (fscanf(file, "%ld", &seconds) != 1) {
            seconds = 0;
        }
        fclose(file);
    }
    return seconds;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int failed = (int) syscall(SYS_clock_gettime, clock, time);
    if (failed == 0 && clock == CLOCK_REALTIME) {
        time->tv_sec += step_seconds();
    }
    return failed;
}

int gettimeofday(struct timeval *time, void *zone) {
    int failed = (int) syscall(SYS_gettimeofday, time, zone);
    if (failed == 0) {
        time->tv_sec += step_seconds();
    }
    return failed;
}
