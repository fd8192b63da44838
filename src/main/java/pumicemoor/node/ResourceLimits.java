package pumicemoor.node;

import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.Settings;

/**
 * All sizes, counts and times by which the router guards its own resources, filled once at start and handed
 * down. It must never hold a value by which requests are steered: those stand in the decision module. Times
 * are microseconds, sizes bytes.
 */
public record ResourceLimits(
        int openRequests,
        int openPerClient,
        int clients,
        int frameBytes,
        int requestBytes,
        int answerBytes,
        int lineBytes,
        long bufferedBytes,
        int clientBacklogBytes,
        int lineBacklogBytes,
        long sweep,
        long clientFirst,
        long clientIdle,
        long clientLeave,
        long clientRelease,
        long clientStall,
        int streamsKnown,
        int misuses,
        long longestTtl,
        long pushback,
        int complaints,
        int lines,
        int linesPerMember,
        int attemptsPerLine,
        long connectTimeout,
        long unwritten,
        long lineIdle,
        long lineAbandoned,
        long lineQuiet,
        long lineDead,
        long idKept,
        long feedSilence,
        long feedConnect,
        long feedRetry,
        long syncTime,
        long requestHold,
        long heldUp,
        long answerGuard,
        long quietAfterTerm,
        long lastAfterTerm,
        int rehearsals,
        long rehearsalTime,
        int fleetLines) {

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long SYNC_TIME = 5 * SECOND; // half of the time in which a restarted router has to be ready

    /** Half of the descriptors are the clients', these the members'; what is left is kept for the coordinator and the process. */
    private static int lines(int sockets) {
        return Math.max(8, sockets / 2 - 96);
    }

    /**
     * The limits of a router with this many descriptors: half for clients, most of the rest for members. A
     * request not written whole counts as out of reach after the connect time-out, and well before a drain
     * or a purge told meanwhile would bind it.
     */
    public static ResourceLimits of(Settings settings, NodeConfig.Figures figures) {
        long bound = settings.limits().connectTimeout() > 0 ? settings.limits().connectTimeout() : SECOND;
        long unwritten = Math.min(
                bound,
                Math.min(
                        settings.rules().drainGrace() > 0 ? settings.rules().drainGrace() / 2 : bound,
                        settings.rules().purgeGrace() > 0 ? settings.rules().purgeGrace() * 4 / 5 : bound));
        long longest = settings.classes().stream()
                .mapToLong(RequestClass::deadline)
                .max()
                .orElse(0);
        int opens = settings.limits().maxOpenRequests() > 0 ? settings.limits().maxOpenRequests() : 20_000;
        long pushback = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() / MILLI : 0;
        return new ResourceLimits(
                Math.min(opens, 8_192),
                32,
                Math.max(16, figures.sockets() / 2),
                262_144,
                48_000,
                240_000,
                4_096,
                figures.memoryMb() * 1_048_576L / 8,
                1_048_576,
                131_072,
                200 * MILLI,
                1_800 * MILLI,
                5 * SECOND,
                SECOND,
                150 * MILLI,
                4 * SECOND,
                256,
                16,
                Math.max(10 * longest, 60 * SECOND),
                pushback,
                5,
                lines(figures.sockets()),
                Math.max(1, Math.min(8, figures.sockets() / 128)),
                Math.max(1, figures.multiplex()),
                bound,
                unwritten,
                figures.keepAlive() > 0 ? figures.keepAlive() * 4 / 5 : 10 * SECOND,
                figures.keepAlive() + 2 * longest + 10 * SECOND,
                300 * MILLI,
                500 * MILLI,
                longest + SECOND,
                1_600 * MILLI,
                500 * MILLI,
                100 * MILLI,
                SYNC_TIME,
                500 * MILLI,
                Math.min(60 * MILLI, unwritten / 4),
                settings.rules().answerSlack() + 20 * MILLI,
                720 * MILLI,
                Math.min(longest, 3 * SECOND) + 450 * MILLI,
                800,
                6 * SECOND,
                50);
    }
}
