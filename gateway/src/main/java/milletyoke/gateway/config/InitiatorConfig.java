package milletyoke.gateway.config;

import java.nio.file.Path;
import java.util.List;
import milletyoke.config.Checker;
import milletyoke.config.Diagnostic;
import milletyoke.config.Fleet;
import milletyoke.config.SourceProvider;
import milletyoke.config.disk.FileSourceProvider;

/**
 * What one initiator is started with.
 *
 * @param number its number among the initiators of the deployment, from 1
 * @param stateDirectory where it keeps its last list and the journal of actions; null keeps none
 * @param console null where it has none
 * @param fleet the configuration that the deployment was read from; null where it stands in the
 *     setup itself
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

    /** Without a console. */
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

    /** A checked configuration. @param files that it was read from */
    public record FleetFile(String file, Fleet fleet, List<String> files) {}

    /**
     * Where the console listens and who may look. @param requestsPerSecond requests a second for
     * each token
     */
    public record Console(Address listen, Path tokenFile, double requestsPerSecond) {}

    /**
     * How connections are kept. Times are microseconds.
     *
     * @param maxConnectionsPerTarget most to one target
     * @param maxAttemptsPerConnection most relays at once on one connection
     * @param probeTimeoutMicros how long a probe may go unanswered
     * @param ioThreads that serve sockets
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
     * What this initiator has room for.
     *
     * @param maxRequests accesses, from taking to the end of their last relay
     * @param queueCapacity entries between the sockets and the loop
     * @param shardCount shards are numbered below this
     * @param maxRequestUnits units of one access
     * @param maxTimeLeftMicros time left that an access may come with (microseconds)
     * @param maxPayloadBytes of payloads held
     * @param connectionShare of places and bytes, for one connection
     * @param volumeShare how many times the free room one volume may hold
     * @param saturationThreshold from this part used on the daemon tells that it is saturated,
     *     until below {@code eased}
     * @param endpointListTimeoutMicros without a word from discovery for so long the list counts as
     *     lost (microseconds)
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
        /** With the usual figures beside these. */
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
                    256L << 20,
                    1,
                    4,
                    0.9,
                    0.7,
                    10_000_000);
        }
    }

    /**
     * @throws SetupError that names file, line and field
     */
    public static InitiatorConfig read(Path file) throws ConfigException {
        SettingsReader f = SettingsReader.read(file);
        return of(f, file.toAbsolutePath().getParent());
    }

    public static InitiatorConfig of(SettingsReader f, Path base) throws ConfigException {
        String name = f.text("name", null);
        int number = f.integer("number", 1, 1, 100_000);
        Address listen = f.address("listen", null);
        Address discovery = f.address("discovery", null);
        Path folder = f.has("folder") ? base.resolve(f.text("folder", null)) : null;
        FleetFile fleet = f.has("fleet") ? fleet(f, base) : null;
        DeploymentSettings deployment =
                fleet != null
                        ? FleetConverter.deployment(fleet.fleet())
                        : DeploymentSettings.read(f.object("deployment"));
        Transport transport = transport(f.optionalObject("transport"));
        CapacityLimits room = capacity(f.optionalObject("room"));
        Console console = f.has("console") ? console(f.object("console"), base) : null;
        f.rejectUnknown();
        return new InitiatorConfig(
                name,
                number,
                listen,
                discovery,
                folder,
                deployment,
                transport,
                room,
                console,
                fleet);
    }

    /** The deployment as the configuration language has it, in a file of its own. */
    private static FleetFile fleet(SettingsReader f, Path base) throws ConfigException {
        if (f.has("deployment")) {
            throw f.error(
                    "fleet", "stands beside deployment; one of them says what the deployment is");
        }
        Path file = base.resolve(f.text("fleet", null));
        try {
            Checker.Result checked =
                    Checker.check(new FileSourceProvider(), FileSourceProvider.name(file));
            if (!checked.isValid()) {
                throw new ConfigException(
                        checked.diagnostics().stream()
                                .filter(Diagnostic::isError)
                                .findFirst()
                                .orElseThrow()
                                .text()
                                .strip());
            }
            return new FleetFile(checked.files().get(0), checked.fleet(), checked.files());
        } catch (SourceProvider.UnreadableSourceException missing) {
            throw f.error("fleet", file + ": " + missing.getMessage());
        }
    }

    private static Transport transport(SettingsReader t) throws ConfigException {
        Transport transport =
                new Transport(
                        t.timeMicros("connectTime", "250 ms"),
                        t.timeMicros("idle", "30 s"),
                        t.integer("connections", 4, 1, 1000),
                        t.integer("streams", 100, 1, 100_000),
                        t.timeMicros("probeTime", "250 ms"),
                        t.integer("frameBytes", 1 << 20, 1024, 1 << 30),
                        (long) t.number("waitingBytes", 8 << 20, 4096, 1e12),
                        t.timeMicros("partialTime", "5 s"),
                        t.integer("threads", 2, 1, 256));
        if (transport.connectTimeoutMicros() == 0) {
            throw t.error("connectTime", "must be over 0");
        }
        t.rejectUnknown();
        return transport;
    }

    private static Console console(SettingsReader c, Path base) throws ConfigException {
        Console console =
                new Console(
                        c.address("listen", null),
                        base.resolve(c.text("tokens", null)),
                        c.number("rate", 100, 1, 1e6));
        c.rejectUnknown();
        return console;
    }

    private static CapacityLimits capacity(SettingsReader r) throws ConfigException {
        CapacityLimits room =
                new CapacityLimits(
                        r.integer("held", 10_000, 1, 10_000_000),
                        r.integer("queue", 1 << 16, 64, 1 << 24),
                        r.integer("shards", 1 << 16, 1, 1 << 24),
                        r.number("largest", 1e6, 1, 1e12),
                        r.timeMicros("longest", "1 h"),
                        (long) r.number("bytes", 256 << 20, 1024, 1e15),
                        r.number("connectionPart", 1, 0.01, 1),
                        r.number("greed", 4, 1, 1e6),
                        r.number("full", 0.9, 0.01, 1),
                        r.number("eased", 0.7, 0, 0.99),
                        r.timeMicros("listAge", "10 s"));
        if (room.recoveryThreshold() >= room.saturationThreshold()) {
            throw r.error("eased", "must be under full, " + room.saturationThreshold());
        }
        r.rejectUnknown();
        return room;
    }
}
