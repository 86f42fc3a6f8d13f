package milletyoke.gateway.config;

import java.nio.file.Path;
import java.util.List;
import milletyoke.config.Fleet;

/**
 * Everything that one initiator is started with.
 *
 * @param name the initiator's name in hellos, logs and status pages
 * @param number its number among the initiators of the deployment, from 1
 * @param listen where clients connect
 * @param discovery where the discovery service listens
 * @param stateDirectory where the endpoint list cache and the audit log are kept; null keeps none
 * @param deployment what all initiators of the deployment share
 * @param transport how connections are kept
 * @param capacity bounds on pending requests and their payloads
 * @param console null where the initiator has none
 * @param fleet the fleet configuration that the deployment was read from; null where the setup file
 *     holds the deployment itself
 */
public record InitiatorConfig(
        String name,
        int number,
        Address listen,
        Address discovery,
        Path stateDirectory,
        DeploymentSettings deployment,
        Transport transport,
        CapacityLimits capacity,
        Console console,
        FleetFile fleet) {

    /** A configuration without a console and without a fleet file. */
    public InitiatorConfig(
            String name,
            int number,
            Address listen,
            Address discovery,
            Path stateDirectory,
            DeploymentSettings deployment,
            Transport transport,
            CapacityLimits capacity) {
        this(
                name,
                number,
                listen,
                discovery,
                stateDirectory,
                deployment,
                transport,
                capacity,
                null,
                null);
    }

    /**
     * A checked fleet configuration.
     *
     * @param file the file that the setup names
     * @param fleet what it means
     * @param files all files that it was read from, with those it includes
     */
    public record FleetFile(String file, Fleet fleet, List<String> files) {}

    /**
     * The operators' console.
     *
     * @param listen where it serves HTTP
     * @param tokenFile holds the access tokens
     * @param requestsPerSecond rate limit of each token
     */
    public record Console(Address listen, Path tokenFile, double requestsPerSecond) {}

    /**
     * How connections are kept.
     *
     * @param connectTimeoutMicros after which a connection attempt fails
     * @param idleTimeoutMicros after which an unused connection is closed
     * @param maxConnectionsPerTarget connections to one target at once
     * @param maxAttemptsPerConnection attempts in flight on one connection
     * @param probeTimeoutMicros how long a probe may stay without a reply
     * @param maxFrameBytes largest frame sent or received
     * @param maxUnsentBytes bytes that may wait for one peer before its connection is closed
     * @param partialFrameTimeoutMicros how long a frame may stay half received
     * @param ioThreads threads that serve sockets
     */
    public record Transport(
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            int maxConnectionsPerTarget,
            int maxAttemptsPerConnection,
            long probeTimeoutMicros,
            int maxFrameBytes,
            long maxUnsentBytes,
            long partialFrameTimeoutMicros,
            int ioThreads) {}

    /**
     * Bounds on what this initiator admits.
     *
     * @param maxRequests requests admitted at once, each until its last attempt has ended
     * @param queueCapacity entries between the I/O threads and the event loop
     * @param shardCount shards are numbered below this
     * @param maxRequestUnits largest size of one request, in units
     * @param maxTimeLeftMicros largest time left that a request may state
     * @param maxPayloadBytes bytes of payloads held at once
     * @param connectionShare largest share of requests and bytes for one connection
     * @param volumeShare how many times the free capacity one volume may use
     * @param saturationThreshold utilization from which on the initiator reports itself saturated
     * @param recoveryThreshold utilization below which it no longer does
     * @param endpointListTimeoutMicros without a message from discovery for so long the endpoint
     *     list counts as lost
     */
    public record CapacityLimits(
            int maxRequests,
            int queueCapacity,
            int shardCount,
            double maxRequestUnits,
            long maxTimeLeftMicros,
            long maxPayloadBytes,
            double connectionShare,
            double volumeShare,
            double saturationThreshold,
            double recoveryThreshold,
            long endpointListTimeoutMicros) {
        static final long DEFAULT_MAX_PAYLOAD_BYTES = 256L << 20;
        static final double DEFAULT_CONNECTION_SHARE = 1;
        static final double DEFAULT_VOLUME_SHARE = 4;
        static final double DEFAULT_SATURATION_THRESHOLD = 0.9;
        static final double DEFAULT_RECOVERY_THRESHOLD = 0.7;
        static final long DEFAULT_ENDPOINT_LIST_TIMEOUT_MICROS = 10_000_000;

        /** Limits with the defaults for what is not stated. */
        public CapacityLimits(
                int maxRequests,
                int queueCapacity,
                int shardCount,
                double maxRequestUnits,
                long maxTimeLeftMicros) {
            this(
                    maxRequests,
                    queueCapacity,
                    shardCount,
                    maxRequestUnits,
                    maxTimeLeftMicros,
                    DEFAULT_MAX_PAYLOAD_BYTES,
                    DEFAULT_CONNECTION_SHARE,
                    DEFAULT_VOLUME_SHARE,
                    DEFAULT_SATURATION_THRESHOLD,
                    DEFAULT_RECOVERY_THRESHOLD,
                    DEFAULT_ENDPOINT_LIST_TIMEOUT_MICROS);
        }
    }

    /**
     * Reads a setup file. Paths in it are relative to its folder.
     *
     * @throws ConfigException that names file, line and field
     */
    public static InitiatorConfig read(Path file) throws ConfigException {
        return of(SettingsReader.read(file), file.toAbsolutePath().getParent());
    }

    /**
     * Reads a setup that was parsed already.
     *
     * @param baseDirectory what relative paths in the setup are relative to
     * @throws ConfigException that names file, line and field
     */
    public static InitiatorConfig of(SettingsReader settings, Path baseDirectory)
            throws ConfigException {
        return new InitiatorConfigReader(settings, baseDirectory).read();
    }
}
