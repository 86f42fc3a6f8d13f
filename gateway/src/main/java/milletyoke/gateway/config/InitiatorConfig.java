package milletyoke.gateway.config;

import java.nio.file.Path;
import java.util.List;
import milletyoke.config.Fleet;

/**
 * The configuration of one initiator.
 *
 * @param name the initiator's name in hello messages, logs and status pages
 * @param number the initiator's number within the deployment, from 1
 * @param listen the address on which clients connect
 * @param discovery the address of the discovery service
 * @param stateDirectory directory of the endpoint list cache and the audit log; null where neither
 *     is stored
 * @param deployment settings shared by all initiators of the deployment
 * @param transport settings of connections and I/O threads
 * @param capacity bounds on pending requests and their payloads
 * @param console settings of the web console; null where the initiator has none
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

    /** Creates a configuration without a console and without a fleet file. */
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
     * @param file the file that the setup file refers to
     * @param fleet the parsed and checked content
     * @param files all files that were read, included ones too
     */
    public record FleetFile(String file, Fleet fleet, List<String> files) {}

    /**
     * Settings of the operators' web console.
     *
     * @param listen the address on which it serves HTTP
     * @param tokenFile the file of access tokens
     * @param requestsPerSecond rate limit of each token
     */
    public record Console(Address listen, Path tokenFile, double requestsPerSecond) {}

    /**
     * Settings of connections and I/O threads.
     *
     * @param connectTimeoutMicros time after which a connection attempt fails
     * @param idleTimeoutMicros time after which an unused connection is closed
     * @param maxConnectionsPerTarget concurrent connections to one target
     * @param maxAttemptsPerConnection attempts in flight on one connection
     * @param probeTimeoutMicros how long to wait for the reply to a probe
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
     * Limits of what this initiator admits.
     *
     * @param maxRequests requests admitted at once, each until its last attempt has ended
     * @param queueCapacity entries of the queue between the I/O threads and the event loop
     * @param shardCount upper bound, exclusive, of shard numbers
     * @param maxRequestUnits largest size of a request, in units
     * @param maxTimeLeftMicros largest time left that a request may state
     * @param maxPayloadBytes bytes of payloads held at once
     * @param connectionShare largest share of requests and bytes for one connection
     * @param volumeShare largest usage of one volume, as a multiple of the free capacity
     * @param saturationThreshold utilization from which the initiator reports itself saturated
     * @param recoveryThreshold utilization below which it is no longer saturated
     * @param endpointListTimeoutMicros time without a message from discovery after which the
     *     endpoint list counts as lost
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

        /** Creates limits with the defaults for the remaining components. */
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
     * Reads a setup file. Relative paths in it are resolved against its directory.
     *
     * @throws ConfigException if the setup is invalid; names file, line and field
     */
    public static InitiatorConfig read(Path file) throws ConfigException {
        return of(SettingsReader.read(file), file.toAbsolutePath().getParent());
    }

    /**
     * Reads the configuration from an already parsed setup file.
     *
     * @param baseDirectory directory against which relative paths are resolved
     * @throws ConfigException if the setup is invalid; names file, line and field
     */
    public static InitiatorConfig of(SettingsReader settings, Path baseDirectory)
            throws ConfigException {
        return new InitiatorConfigReader(settings, baseDirectory).read();
    }
}
