package milletyoke.cli;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import milletyoke.gateway.config.Address;
import milletyoke.standins.Discovery;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Target;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "discovery",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for discovery that tells a list of targets.")
final class DiscoveryCommand implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "0", description = "0 takes a free one.")
    private int port;

    @Option(
            names = "--target",
            required = true,
            paramLabel = "ID=SHARD@HOST:PORT",
            description = "May come again.")
    private List<String> targets;

    @Override
    public Integer call() throws Exception {
        Discovery discovery =
                new Discovery(
                        port,
                        System.nanoTime(),
                        Executors.newScheduledThreadPool(1),
                        FrameObserver.NONE);
        for (String text : targets) {
            String[] parts = text.split("[=@]", 3);
            if (parts.length != 3 || !parts[1].matches("\\d{1,5}")) {
                throw new IllegalArgumentException(
                        "--target: a1=0@127.0.0.1:7500 is expected, not " + text);
            }
            Address at = Address.of(parts[2]);
            discovery.update(
                    Target.newBuilder()
                            .setId(parts[0])
                            .setShard(Integer.parseInt(parts[1]))
                            .setZone("zone-1")
                            .setHealth(Health.ACTIVE)
                            .setHost(at.host())
                            .setPort(at.port())
                            .build());
        }
        System.out.println(
                "discovery tells of " + targets.size() + " targets at port " + discovery.port());
        Thread.currentThread().join();
        return 0;
    }
}
