package pumicemoor.node;

import pumicemoor.RouterApi.RequestClass;
import pumicemoor.RouterApi.Settings;

/**
 * The sizes, counts and times that protect the router's own resources, computed once at the start. It must never hold a
 * value that influences where a request goes: such values belong to the decision module. Times are in microseconds
 * unless noted otherwise, sizes in bytes.
 */
public record ResourceLimits(
        int maxOpenRequests, // open requests of the router
        int maxOpenRequestsPerClient, // open requests of one client connection
        int maxClients, // client connections
        int maxFrameBytes, // largest frame of a client
        int maxRequestBytes, // largest body of a request
        int maxAnswerBytes, // largest body of an answer
        int maxAnswerHeaderBytes, // longest header line of an answer
        long maxBufferedBytes, // memory of all network buffers together
        long maxPartialFrameBytes, // memory of all client frames received in part, within maxBufferedBytes
        int clientBacklogBytes, // high-water mark of the write buffer of a client connection
        int maxWaitingReplyBytes, // refusals and other replies of the router's own that wait for one client
        int memberBacklogBytes, // high-water mark of the write buffer of a connection to a member
        long sweepInterval, // interval of the checks for idle and dead connections
        long clientRequestTimeout, // wait for the first request of a client, and for more of a frame
        long maxFrameTime, // for which a frame may go on being received
        long clientIdleTimeout, // without requests until a client connection counts as idle
        long clientDrainTime, // from the signal to an idle client to leave until its connection is closed
        long clientCloseDelay, // delay before a released client connection is closed
        long clientStallTimeout, // for which a client may leave its answers unread
        int maxUnreadFrames, // frames of a client without a pause, past which its requests are refused
        long maxReceivedHold, // for which a request waits for the end of its client's available input
        int maxTrackedStreams, // stream numbers remembered per client
        int maxProtocolErrors, // protocol errors after which a client is disconnected
        int maxExecutedIds, // ids remembered of ended requests that may have run and must not run twice
        long executedIdRetention, // for which such an id is remembered
        long maxTtl, // longest time to live that a client may give a request
        long retryAfterMillis, // milliseconds after which a refused client may retry, 0 for no advice
        int warningsPerSecond, // warnings about peers per second
        int maxMemberConnections, // connections to members
        int maxConnectionsPerMember, // connections to one member
        int maxAttemptsPerConnection, // attempts at once on one connection to a member
        long connectTimeout, // for a connection to a member
        long writeTimeout, // until an attempt that is not completely written has failed
        long connectionIdleTimeout, // until an idle connection to a member is closed
        long abandonedConnectionTimeout, // until a connection is closed on which answers no longer arrive
        long livenessProbeDelay, // without data from a member that owes answers, until it is probed
        long livenessProbeTimeout, // until a probe that gets no reply closes the connection
        long endedIdRetention, // for which the id of an ended attempt is remembered on its connection
        long coordinatorSilenceTimeout, // without data until the coordinator stream counts as lost
        long coordinatorAnswerTimeout, // without data until a stream request to the coordinator counts as failed
        long coordinatorConnectTimeout, // for a connection to the coordinator
        long coordinatorRetryDelay, // mean delay before the coordinator stream is opened again
        long syncTimeout, // to catch up with the coordinator after the start
        long maxRequestHold, // longest wait of requests for the coordinator after a stall
        long loopStallThreshold, // between two iterations of the event loop for it to count as stalled
        long maxRecoveryTime, // longest time for which clients are read after a stall
        long overdueAnswerMargin, // from its deadline until an unanswered request is failed
        long minTimeBeforeExit, // shortest time from SIGTERM to the exit, even if no request is open
        long exitDeadline, // from SIGTERM until all requests still open are failed
        int warmUpRequests, // warm-up requests before the start
        long maxWarmUpTime, // longest duration of the warm-up
        int fleetLogLinesPerSecond // lines a second of the fleet's log, and of the log of endpoint changes
        ) {

    private static final long BYTES_PER_MB = 1_048_576;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    // half of the time in which a restarted router must be ready
    private static final long SYNC_MICROS = 5 * MICROS_PER_SECOND;
    private static final int MIN_MEMBER_CONNECTIONS = 8;
    private static final int OTHER_DESCRIPTORS = 96; // kept for the coordinator and the process

    /** Returns the share of the descriptors for connections to members; half of all descriptors are for clients. */
    private static int memberConnections(int sockets) {
        return Math.max(MIN_MEMBER_CONNECTIONS, sockets / 2 - OTHER_DESCRIPTORS);
    }

    /**
     * Returns the limits for the given resources and settings. Half of the descriptors are for clients, most of the
     * rest for members. An attempt that is not completely written fails after no more than the connect timeout, and
     * well before the grace period of a drain or purge that arrives meanwhile ends, so that it is never sent in
     * violation of that.
     */
    public static ResourceLimits of(Settings settings, NodeConfig.Resources resources) {
        long connectTimeout =
                settings.limits().connectTimeout() > 0 ? settings.limits().connectTimeout() : MICROS_PER_SECOND;
        long writeTimeout = Math.min(
                connectTimeout,
                Math.min(
                        settings.rules().drainGrace() > 0 ? settings.rules().drainGrace() / 2 : connectTimeout,
                        settings.rules().purgeGrace() > 0 ? settings.rules().purgeGrace() * 4 / 5 : connectTimeout));
        long longestDeadline = settings.classes().stream()
                .mapToLong(RequestClass::deadline)
                .max()
                .orElse(0);
        int maxOpenRequests =
                settings.limits().maxOpenRequests() > 0 ? settings.limits().maxOpenRequests() : 20_000;
        long retryAfterMillis =
                settings.limits().retryAfter() ? settings.limits().maxRetryAfter() / MICROS_PER_MILLI : 0;
        return new ResourceLimits(
                Math.min(maxOpenRequests, 8_192),
                32,
                Math.max(16, resources.sockets() / 2),
                262_144,
                48_000,
                240_000,
                4_096,
                resources.memoryMb() * BYTES_PER_MB / 8,
                resources.memoryMb() * BYTES_PER_MB / 32,
                1_048_576,
                4_096,
                131_072,
                200 * MICROS_PER_MILLI,
                1_800 * MICROS_PER_MILLI,
                Math.max(longestDeadline, 1_800 * MICROS_PER_MILLI),
                5 * MICROS_PER_SECOND,
                MICROS_PER_SECOND,
                150 * MICROS_PER_MILLI,
                4 * MICROS_PER_SECOND,
                256,
                200 * MICROS_PER_MILLI,
                256,
                16,
                16_384,
                Math.max(10 * longestDeadline, 60 * MICROS_PER_SECOND),
                Math.max(10 * longestDeadline, 60 * MICROS_PER_SECOND),
                retryAfterMillis,
                5,
                memberConnections(resources.sockets()),
                Math.max(1, Math.min(8, resources.sockets() / 128)),
                Math.max(1, resources.multiplex()),
                connectTimeout,
                writeTimeout,
                resources.keepAlive() > 0 ? resources.keepAlive() * 4 / 5 : 10 * MICROS_PER_SECOND,
                resources.keepAlive() + 2 * longestDeadline + 10 * MICROS_PER_SECOND,
                300 * MICROS_PER_MILLI,
                500 * MICROS_PER_MILLI,
                longestDeadline + MICROS_PER_SECOND,
                1_600 * MICROS_PER_MILLI,
                12_800 * MICROS_PER_MILLI,
                500 * MICROS_PER_MILLI,
                100 * MICROS_PER_MILLI,
                SYNC_MICROS,
                500 * MICROS_PER_MILLI,
                Math.min(60 * MICROS_PER_MILLI, writeTimeout / 4),
                Math.min(20 * MICROS_PER_MILLI, writeTimeout / 12),
                settings.rules().answerSlack() + 20 * MICROS_PER_MILLI,
                720 * MICROS_PER_MILLI,
                Math.min(longestDeadline, 3 * MICROS_PER_SECOND) + 450 * MICROS_PER_MILLI,
                800,
                6 * MICROS_PER_SECOND,
                50);
    }
}
