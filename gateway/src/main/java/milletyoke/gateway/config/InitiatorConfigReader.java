package milletyoke.gateway.config;

import java.nio.file.Path;
import milletyoke.config.Checker;
import milletyoke.config.Diagnostic;
import milletyoke.config.SourceProvider;
import milletyoke.config.disk.FileSourceProvider;
import milletyoke.gateway.config.InitiatorConfig.CapacityLimits;
import milletyoke.gateway.config.InitiatorConfig.Console;
import milletyoke.gateway.config.InitiatorConfig.FleetFile;
import milletyoke.gateway.config.InitiatorConfig.Transport;

/** Reads an {@link InitiatorConfig} from a parsed setup file, with field ranges and defaults. */
final class InitiatorConfigReader {
    private final SettingsReader settings;
    private final Path baseDirectory;

    InitiatorConfigReader(SettingsReader settings, Path baseDirectory) {
        this.settings = settings;
        this.baseDirectory = baseDirectory;
    }

    InitiatorConfig read() throws ConfigException {
        String name = settings.text("name", null);
        int number = settings.integer("number", 1, 1, 100_000);
        Address listen = settings.address("listen", null);
        Address discovery = settings.address("discovery", null);
        Path stateDirectory = settings.has("folder") ? resolvePath(settings, "folder") : null;
        FleetFile fleet = settings.has("fleet") ? readFleet() : null;
        DeploymentSettings deployment =
                fleet != null
                        ? FleetConverter.deployment(fleet.fleet())
                        : DeploymentSettings.read(settings.object("deployment"));
        Transport transport = readTransport(settings.optionalObject("transport"));
        CapacityLimits capacity = readCapacity(settings.optionalObject("room"));
        Console console = settings.has("console") ? readConsole(settings.object("console")) : null;
        settings.rejectUnknown();
        return new InitiatorConfig(
                name,
                number,
                listen,
                discovery,
                stateDirectory,
                deployment,
                transport,
                capacity,
                console,
                fleet);
    }

    private Path resolvePath(SettingsReader reader, String field) throws ConfigException {
        return baseDirectory.resolve(reader.text(field, null));
    }

    /** Reads and checks the fleet configuration file that the setup file refers to. */
    private FleetFile readFleet() throws ConfigException {
        if (settings.has("deployment")) {
            throw settings.error(
                    "fleet",
                    "cannot be combined with deployment; exactly one of the two is expected");
        }
        Path file = resolvePath(settings, "fleet");
        try {
            Checker.Result checked =
                    Checker.check(new FileSourceProvider(), FileSourceProvider.name(file));
            if (!checked.isValid()) {
                throw new ConfigException(firstErrorText(checked));
            }
            return new FleetFile(checked.files().get(0), checked.fleet(), checked.files());
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            throw settings.error("fleet", file + ": " + unreadable.getMessage());
        }
    }

    private static String firstErrorText(Checker.Result checked) {
        Diagnostic error =
                checked.diagnostics().stream()
                        .filter(Diagnostic::isError)
                        .findFirst()
                        .orElseThrow();
        return error.text().strip();
    }

    private static Transport readTransport(SettingsReader reader) throws ConfigException {
        Transport transport =
                new Transport(
                        reader.timeMicros("connectTime", "250 ms"),
                        reader.timeMicros("idle", "30 s"),
                        reader.integer("connections", 4, 1, 1000),
                        reader.integer("streams", 100, 1, 100_000),
                        reader.timeMicros("probeTime", "250 ms"),
                        reader.integer("frameBytes", 1 << 20, 1024, 1 << 30),
                        (long) reader.number("waitingBytes", 8 << 20, 4096, 1e12),
                        reader.timeMicros("partialTime", "5 s"),
                        reader.integer("threads", 2, 1, 256));
        if (transport.connectTimeoutMicros() == 0) {
            throw reader.error("connectTime", "must be greater than 0");
        }
        reader.rejectUnknown();
        return transport;
    }

    private Console readConsole(SettingsReader reader) throws ConfigException {
        Console console =
                new Console(
                        reader.address("listen", null),
                        resolvePath(reader, "tokens"),
                        reader.number("rate", 100, 1, 1e6));
        reader.rejectUnknown();
        return console;
    }

    private static CapacityLimits readCapacity(SettingsReader reader) throws ConfigException {
        CapacityLimits capacity =
                new CapacityLimits(
                        reader.integer("held", 10_000, 1, 10_000_000),
                        reader.integer("queue", 1 << 16, 64, 1 << 24),
                        reader.integer("shards", 1 << 16, 1, 1 << 24),
                        reader.number("largest", 1e6, 1, 1e12),
                        reader.timeMicros("longest", "1 h"),
                        readMaxPayloadBytes(reader),
                        readShare(
                                reader, "connectionPart", CapacityLimits.DEFAULT_CONNECTION_SHARE),
                        reader.number("greed", CapacityLimits.DEFAULT_VOLUME_SHARE, 1, 1e6),
                        readShare(reader, "full", CapacityLimits.DEFAULT_SATURATION_THRESHOLD),
                        reader.number("eased", CapacityLimits.DEFAULT_RECOVERY_THRESHOLD, 0, 0.99),
                        reader.timeMicros("listAge", "10 s"));
        if (capacity.recoveryThreshold() >= capacity.saturationThreshold()) {
            throw reader.error(
                    "eased", "must be less than full, which is " + capacity.saturationThreshold());
        }
        reader.rejectUnknown();
        return capacity;
    }

    private static long readMaxPayloadBytes(SettingsReader reader) throws ConfigException {
        return (long) reader.number("bytes", CapacityLimits.DEFAULT_MAX_PAYLOAD_BYTES, 1024, 1e15);
    }

    private static double readShare(SettingsReader reader, String field, double defaultValue)
            throws ConfigException {
        return reader.number(field, defaultValue, 0.01, 1);
    }
}
