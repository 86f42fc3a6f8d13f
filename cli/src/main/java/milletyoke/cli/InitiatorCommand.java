package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.SocketNetwork;
import milletyoke.wire.proto.Note;
import milletyoke.wire.recording.Recorder;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/**
 * The command {@code initiator}: runs one initiator that speaks the product's native protocol. The
 * main thread waits until its event loop ends; a shutdown hook shuts the initiator down gracefully.
 */
@Command(
        name = "initiator",
        mixinStandardHelpOptions = true,
        description =
                "Runs one initiator until SIGTERM or SIGINT, then completes its pending requests and exits.")
final class InitiatorCommand implements Callable<Integer> {
    private static final long END_CHECK_MILLIS = 1_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "The initiator's configuration file, JSON5.")
    private Path configFile;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description =
                    "Record the frames on the initiator's sockets in this file, for the audit.")
    private Path recordingFile;

    @Option(
            names = "--capture",
            paramLabel = "FILE",
            description =
                    "Capture incoming requests in this new file, for replay in a scenario or a simulation.")
    private Path captureFile;

    @Option(
            names = "--leave-time",
            paramLabel = "SECONDS",
            defaultValue = "30",
            description =
                    "Maximum time that shutdown waits for pending requests (${DEFAULT-VALUE}).")
    private int shutdownTimeoutSeconds;

    @Override
    public Integer call() throws IOException, ConfigException, InterruptedException {
        InitiatorConfig config = InitiatorConfig.read(configFile);
        Recorder recorder = startRecorder(config);
        FrameObserver observer =
                recorder == null ? FrameObserver.NONE : recorder.observer(config.name());
        Initiator initiator = Initiator.start(config, observer);
        if (captureFile != null) {
            initiator.captureTo(captureFile);
        }
        System.out.println(config.name() + " accepts requests at port " + initiator.port());
        CountDownLatch shutdownCompleted = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> shutDown(initiator, recorder, shutdownCompleted)));
        while (!initiator.eventLoop().awaitEnd(END_CHECK_MILLIS)) {
            // The event loop is still running.
        }
        if (initiator.eventLoop().fault() != null) {
            System.err.println(
                    "milletyoke: the event loop failed; all pending requests were failed");
            Runtime.getRuntime().halt(ExitCode.SOFTWARE);
        }
        shutdownCompleted.await(); // the event loop ended because the shutdown hook stopped it
        return ExitCode.OK;
    }

    /** Returns a new recorder, or null if the option {@code --record} is absent. */
    private Recorder startRecorder(InitiatorConfig config) throws IOException {
        if (recordingFile == null) {
            return null;
        }
        Recorder recorder = new Recorder(recordingFile, SocketNetwork::monotonicMicros);
        recorder.note(config.name(), Note.Kind.STARTED, "initiator", 0);
        return recorder;
    }

    private void shutDown(
            Initiator initiator, Recorder recorder, CountDownLatch shutdownCompleted) {
        try {
            initiator.shutDown(shutdownTimeoutSeconds * MILLIS_PER_SECOND);
            if (recorder != null) {
                recorder.close();
            }
        } catch (Exception failed) {
            System.err.println("milletyoke: shutdown failed: " + failed.getMessage());
        }
        shutdownCompleted.countDown();
    }
}
