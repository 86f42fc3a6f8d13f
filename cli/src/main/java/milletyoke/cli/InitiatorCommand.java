package milletyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.proto.Note;
import milletyoke.wire.recording.Recorder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "initiator",
        mixinStandardHelpOptions = true,
        description =
                "Runs one initiator until SIGTERM or SIGINT; it then answers what it holds and leaves.")
final class InitiatorCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "Its setup, JSON5.")
    private Path config;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description = "Record what its sockets see, for the audit.")
    private Path record;

    @Option(
            names = "--capture",
            paramLabel = "FILE",
            description =
                    "Keep the traffic that comes in, for replay in a"
                            + " rehearsal or the lab; a new file.")
    private Path capture;

    @Option(
            names = "--leave-time",
            paramLabel = "SECONDS",
            defaultValue = "30",
            description = "The longest to wait for what is held (${DEFAULT-VALUE}).")
    private int leaveTime;

    @Override
    public Integer call() throws Exception {
        InitiatorConfig setup = InitiatorConfig.read(config);
        Recorder recorder =
                record == null
                        ? null
                        : new Recorder(record, milletyoke.wire.SocketNetwork::monotonicMicros);
        if (recorder != null) {
            recorder.note(setup.name(), Note.Kind.STARTED, "initiator", 0);
        }
        Initiator initiator =
                Initiator.start(
                        setup,
                        recorder == null ? FrameObserver.NONE : recorder.observer(setup.name()));
        if (capture != null) {
            initiator.captureTo(capture);
        }
        System.out.println(setup.name() + " takes accesses at port " + initiator.port());
        CountDownLatch left = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        initiator.shutDown(leaveTime * 1000L);
                                        if (recorder != null) {
                                            recorder.close();
                                        }
                                    } catch (Exception failed) {
                                        System.err.println(
                                                "milletyoke: leaving failed: "
                                                        + failed.getMessage());
                                    }
                                    left.countDown();
                                }));
        while (!initiator.eventLoop().awaitEnd(1_000)) {
            continue;
        }
        if (initiator.eventLoop().fault() != null) {
            System.err.println(
                    "milletyoke: the loop failed; all that was held has been broken off");
            Runtime.getRuntime().halt(1);
        }
        left.await(); // it was asked to leave
        return 0;
    }
}
