package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import milletyoke.gateway.config.ConfigException;
import milletyoke.platform.process.InitiatorProcess;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.SocketEnvironment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The command {@code serve}: runs one initiator as a service of the platform. SIGHUP reloads its
 * configuration, as does a change of the file if SIGHUP is ignored; SIGTERM and SIGINT shut it down
 * gracefully. Signal handlers run on their own threads; the main thread waits.
 */
@Command(
        name = ServeCommand.NAME,
        mixinStandardHelpOptions = true,
        description =
                "Runs one initiator as a service of the platform: HTTP to clients and targets,"
                        + " configured by the file that LB_CONFIG names."
                        + " SIGHUP reloads the file; SIGTERM and SIGINT shut the process down.")
final class ServeCommand implements Callable<Integer> {
    static final String NAME = "serve";

    private static final String CONFIG_VARIABLE = "LB_CONFIG";
    private static final long FAULT_CHECK_MILLIS = 500;
    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

    @Option(
            names = "--config",
            paramLabel = "FILE",
            defaultValue = "${env:" + CONFIG_VARIABLE + "}",
            description = "The configuration file, JSON (" + CONFIG_VARIABLE + ").")
    private Path config;

    @Override
    public Integer call() throws IOException, ConfigException, InterruptedException {
        if (config == null) {
            throw new ConfigException(
                    "no configuration file: neither LB_CONFIG nor --config is set");
        }
        return run(config);
    }

    /** Runs the command as {@link #call} does, with LB_CONFIG alone and without options. */
    int runFromEnvironment() throws IOException, ConfigException, InterruptedException {
        String file = System.getenv(CONFIG_VARIABLE);
        config = file == null ? null : Path.of(file);
        return call();
    }

    /** Returns 0 if every pending request was answered before the process ended, else 1. */
    private static int run(Path config) throws IOException, ConfigException, InterruptedException {
        CountDownLatch shutdownRequested = new CountDownLatch(1);
        AtomicReference<InitiatorProcess> started = new AtomicReference<>();
        AtomicBoolean reloadRequested = new AtomicBoolean();
        // Handlers are installed before the process listens and can be seen as ready: without them,
        // SIGHUP would kill the process, and SIGTERM would lose its pending requests.
        SignalHandler reloadHandler =
                signal -> {
                    reloadRequested.set(true);
                    reloadIfRequested(started.get(), reloadRequested);
                };
        boolean isReloadSignalIgnored = isIgnoredAfterInstalling("HUP", reloadHandler);
        ExecutionEnvironment environment = new SocketEnvironment();
        AtomicLong noticedAtMicros = new AtomicLong();
        SignalHandler shutdownHandler =
                signal -> {
                    noticedAtMicros.compareAndSet(0, environment.monotonicMicros());
                    shutdownRequested.countDown();
                };
        if (isIgnoredAfterInstalling("TERM", shutdownHandler)) {
            LOG.warn(
                    "SIGTERM was ignored when this process started and has no effect:"
                            + " SIGINT shuts it down, unless that is ignored too");
        }
        isIgnoredAfterInstalling("INT", shutdownHandler); // usual in the background of a shell
        InitiatorProcess process = InitiatorProcess.start(config, environment);
        started.set(process);
        if (isReloadSignalIgnored) {
            reloadOnFileChange(process, config);
        }
        reloadIfRequested(process, reloadRequested);
        while (!shutdownRequested.await(FAULT_CHECK_MILLIS, TimeUnit.MILLISECONDS)) {
            if (process.eventLoop().fault() != null) {
                System.err.println(
                        "milletyoke: the event loop failed; all pending requests were failed");
                return ExitCode.SOFTWARE;
            }
        }
        return process.shutDown(noticedAtMicros.get()) ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static void reloadOnFileChange(InitiatorProcess process, Path config) {
        LOG.warn(
                "SIGHUP was ignored when this process started and has no effect:"
                        + " the configuration file is checked for changes instead file={}",
                config);
        process.reloadOnFileChange();
    }

    /**
     * Installs a signal handler. The JVM leaves a signal as it is that was ignored when the process
     * started, for instance under nohup.
     *
     * @return whether the signal is ignored, so that the handler is never called
     */
    private static boolean isIgnoredAfterInstalling(String signal, SignalHandler handler) {
        return Signal.handle(new Signal(signal), handler).equals(SignalHandler.SIG_IGN);
    }

    /** Reloads once for all signals since the last reload, including those during start-up. */
    private static void reloadIfRequested(InitiatorProcess process, AtomicBoolean reloadRequested) {
        if (process != null && reloadRequested.getAndSet(false)) {
            process.reload();
        }
    }
}
