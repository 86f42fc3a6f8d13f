package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import milletyoke.gateway.config.ConfigException;
import milletyoke.platform.process.InitiatorProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs one initiator in the platform's service:"
                        + " HTTP entry and exit, set up by the file that LB_CONFIG names. SIGHUP reads it again, SIGTERM ends.")
final class ServeCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            defaultValue = "${env:LB_CONFIG}",
            description = "Its configuration, JSON (LB_CONFIG).")
    private Path config;

    @Override
    public Integer call() throws Exception {
        if (config == null) {
            throw new ConfigException("LB_CONFIG is not set, and no --config names the file");
        }
        return run(config);
    }

    /** As {@link #call} with nothing but the environment. */
    int atOnce() throws Exception {
        String file = System.getenv("LB_CONFIG");
        config = file == null ? null : Path.of(file);
        return call();
    }

    /** One that came while it started is not lost. */
    private static void reload(InitiatorProcess service, AtomicBoolean asked) {
        if (service != null && asked.getAndSet(false)) {
            service.reload();
        }
    }

    /**
     * @return 0 where all that was held was answered, 1 where not
     */
    static int run(Path config) throws IOException, ConfigException, InterruptedException {
        CountDownLatch asked = new CountDownLatch(1);
        AtomicReference<InitiatorProcess> started = new AtomicReference<>();
        AtomicBoolean reload = new AtomicBoolean();
        // Before it listens, so before anybody is told that it is ready: SIGHUP would end the
        // process, SIGTERM lose what is held.
        Signal.handle(
                new Signal("HUP"),
                s -> {
                    reload.set(true);
                    reload(started.get(), reload);
                });
        Signal.handle(new Signal("TERM"), s -> asked.countDown());
        Signal.handle(new Signal("INT"), s -> asked.countDown());
        InitiatorProcess service = InitiatorProcess.start(config);
        started.set(service);
        reload(service, reload);
        while (!asked.await(500, TimeUnit.MILLISECONDS)) {
            if (service.eventLoop().fault() != null) {
                System.err.println(
                        "milletyoke: the loop failed; all that was held has been broken off");
                return 1;
            }
        }
        return service.shutDown() ? 0 : 1;
    }
}
