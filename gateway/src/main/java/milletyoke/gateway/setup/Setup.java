package milletyoke.gateway.setup;

import java.nio.file.Path;

/**
 * What one initiator is started with.
 *
 * @param number its number among the initiators of the deployment, from 1
 * @param folder where it keeps its last list; null keeps none
 */
public record Setup(String name, int number, Address listen, Address discovery, Path folder, Deployment deployment,
        Transport transport, Room room) {

    /**
     * How connections are kept. Times are microseconds.
     *
     * @param connections most to one target
     * @param streams most relays at once on one connection
     * @param probeTime how long a probe may go unanswered
     * @param threads that serve sockets
     */
    public record Transport(long connectTime, long idle, int connections, int streams, long probeTime,
            int frameBytes, long waitingBytes, long partialTime, int threads) {}

    /**
     * What this initiator has room for.
     *
     * @param held accesses, from taking to the end of their last relay
     * @param queue entries between the sockets and the loop
     * @param shards shards are numbered below this
     * @param largest units of one access
     * @param longest time left that an access may come with (microseconds)
     */
    public record Room(int held, int queue, int shards, double largest, long longest) {}

    /** @throws SetupError that names file, line and field */
    public static Setup read(Path file) throws SetupError {
        Form f = Form.read(file);
        return of(f, file.toAbsolutePath().getParent());
    }

    public static Setup of(Form f, Path base) throws SetupError {
        String name = f.text("name", null);
        int number = f.whole("number", 1, 1, 100_000);
        Address listen = f.address("listen", null);
        Address discovery = f.address("discovery", null);
        Path folder = f.has("folder") ? base.resolve(f.text("folder", null)) : null;
        Deployment deployment = Deployment.read(f.form("deployment"));
        Transport transport = transport(f.optional("transport"));
        Room room = room(f.optional("room"));
        f.done();
        return new Setup(name, number, listen, discovery, folder, deployment, transport, room);
    }

    private static Transport transport(Form t) throws SetupError {
        Transport transport = new Transport(t.time("connectTime", "250 ms"), t.time("idle", "30 s"),
                t.whole("connections", 4, 1, 1000), t.whole("streams", 100, 1, 100_000), t.time("probeTime", "250 ms"),
                t.whole("frameBytes", 1 << 20, 1024, 1 << 30), (long) t.figure("waitingBytes", 8 << 20, 4096, 1e12),
                t.time("partialTime", "5 s"), t.whole("threads", 2, 1, 256));
        if (transport.connectTime() == 0) {
            throw t.wrong("connectTime", "must be over 0");
        }
        t.done();
        return transport;
    }

    private static Room room(Form r) throws SetupError {
        Room room = new Room(r.whole("held", 10_000, 1, 10_000_000), r.whole("queue", 1 << 16, 64, 1 << 24),
                r.whole("shards", 1 << 16, 1, 1 << 24), r.figure("largest", 1e6, 1, 1e12), r.time("longest", "1 h"));
        r.done();
        return room;
    }
}
