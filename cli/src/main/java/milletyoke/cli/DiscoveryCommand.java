package milletyoke.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.ConfigException;
import milletyoke.standins.Discovery;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Target;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code discovery}: runs a stand-in for discovery with a fixed endpoint list. */
@Command(
        name = "discovery",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for discovery that serves a fixed endpoint list.")
final class DiscoveryCommand implements Callable<Integer> {
    private static final String ZONE = "zone-1";

    @Option(
            names = "--port",
            defaultValue = "0",
            description = "Port to listen on; 0 picks a free port.")
    private int port;

    @Option(
            names = "--target",
            required = true,
            paramLabel = "ID=SHARD@HOST:PORT",
            description = "A target in the endpoint list; may be repeated.")
    private List<String> targets;

    @Override
    public Integer call() throws IOException, ConfigException, InterruptedException {
        Discovery discovery =
                new Discovery(
                        port,
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(1),
                        FrameObserver.NONE);
        for (String text : targets) {
            discovery.update(parseTarget(text));
        }
        System.out.println(
                "discovery serves " + targets.size() + " targets at port " + discovery.port());
        Thread.currentThread().join();
        return 0;
    }

    private static Target parseTarget(String text) throws ConfigException {
        String[] parts = text.split("[=@]", 3);
        if (parts.length != 3 || !parts[1].matches("\\d{1,5}")) {
            throw new IllegalArgumentException(
                    "--target: expected ID=SHARD@HOST:PORT, for example a1=0@127.0.0.1:7500, not "
                            + text);
        }
        Address address = Address.of(parts[2]);
        return Target.newBuilder()
                .setId(parts[0])
                .setShard(Integer.parseInt(parts[1]))
                .setZone(ZONE)
                .setHealth(Health.ACTIVE)
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }
}
