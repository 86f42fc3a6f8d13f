package milletyoke.gateway;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import milletyoke.admission.Admission;
import milletyoke.config.Fleet;
import milletyoke.gateway.console.Console;
import milletyoke.gateway.discovery.LastList;
import milletyoke.gateway.discovery.Subscription;
import milletyoke.gateway.fleet.Following;
import milletyoke.gateway.ingress.Faults;
import milletyoke.gateway.ingress.Gate;
import milletyoke.gateway.ingress.Ingress;
import milletyoke.gateway.loop.Counts;
import milletyoke.gateway.loop.Loop;
import milletyoke.gateway.loop.Told;
import milletyoke.gateway.setup.Address;
import milletyoke.gateway.setup.FromFleet;
import milletyoke.gateway.setup.Setup;
import milletyoke.gateway.setup.SetupError;
import milletyoke.wire.BadFrame;
import milletyoke.wire.Bounds;
import milletyoke.wire.Line;
import milletyoke.wire.Peer;
import milletyoke.wire.PeerHandler;
import milletyoke.wire.Tap;
import milletyoke.wire.Wire;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import milletyoke.wire.proto.TargetList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One initiator on its sockets: puts the parts together, starts them and ends them. */
public final class Initiator implements Loop.Surroundings {
    private static final Logger LOG = LoggerFactory.getLogger(Initiator.class);

    /** Milliseconds that clients have to close after their last answer. */
    private static final long LONGEST_GOODBYE = 1_000;

    private final Setup setup;
    private final Counts counts = new Counts();
    private final Gate gate;
    private final Wire wire;
    private final Loop loop;
    private final Faults faults;
    private final Ingress ingress;
    private final Wire.Listener listener;
    private final LastList lastList;
    private final Subscription subscription;
    private final ScheduledExecutorService side;
    private final Bounds toTargets;
    private final Following following;
    private Console console;

    private Initiator(Setup setup, Tap tap) throws IOException {
        this.setup = setup;
        Setup.Room r = setup.room();
        gate = new Gate(new Admission.Room(r.held(), r.bytes(), r.connectionPart(), r.greed(),
                setup.deployment().provisioning().allowances().longestAdvice()));
        lastList = setup.folder() == null ? null : new LastList(setup.folder());
        Setup.Transport t = setup.transport();
        toTargets = new Bounds(t.frameBytes(), t.waitingBytes(), t.partialTime(), 0);
        wire = new Wire(setup.name(), t.threads(), tap);
        side = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, setup.name() + "-side");
            thread.setDaemon(true);
            return thread;
        });
        loop = new Loop(setup, this, Wire::micros, counts);
        faults = new Faults(counts, Wire::micros);
        ingress = new Ingress(setup, loop, counts, gate, faults);
        following = setup.fleet() == null ? null : new Following(setup.fleet().file(), setup.folder(),
                setup.fleet().fleet(), setup.fleet().files(), this::follow);
        if (setup.fleet() != null) {
            ingress.configure(setup.fleet().fleet());
        }
        subscription = new Subscription(setup, wire, loop, side, seed());
        try {
            listener = wire.listen(setup.listen().host(), setup.listen().port(), Role.INITIATOR, ingress,
                    new Bounds(t.frameBytes(), t.waitingBytes(), t.partialTime(), 0));
        } catch (IOException taken) {
            wire.close();
            side.shutdownNow();
            throw taken;
        }
    }

    /**
     * Starts one.
     *
     * @throws IOException where an address or its folder cannot be had; nothing is left running
     * @throws SetupError where the console's tokens cannot be used; nothing is left running
     */
    public static Initiator start(Setup setup, Tap tap) throws IOException, SetupError {
        Initiator made = new Initiator(setup, tap);
        TargetList restored = made.lastList == null ? null : made.lastList.load();
        made.loop.start(seed(), restored);
        if (setup.console() != null) {
            try {
                made.console = new Console(setup.console(), setup, made.loop, made.counts, made.following);
            } catch (IOException | SetupError unusable) {
                made.kill();
                throw unusable;
            }
        }
        if (made.following != null) {
            made.side.scheduleWithFixedDelay(made.following::look, 500, 500, TimeUnit.MILLISECONDS);
        }
        made.subscription.connect();
        LOG.info("{} takes accesses at {}:{}, {} targets known from before", setup.name(), setup.listen().host(),
                made.port(), restored == null ? 0 : restored.getTargetCount());
        return made;
    }

    /** A version that holds from now on: the decisions know its plans before any access can name one. */
    private void follow(Fleet fleet) {
        loop.tell(new Told.Reprovision(FromFleet.deployment(fleet).provisioning()));
        loop.tell(new Told.Do(() -> ingress.configure(fleet)));
    }

    private static long seed() {
        return ThreadLocalRandom.current().nextLong();
    }

    public String name() {
        return setup.name();
    }

    public int port() {
        return listener.port();
    }

    /** Where the console listens; 0 where there is none. */
    public int consolePort() {
        return console == null ? 0 : console.port();
    }

    public Counts counts() {
        return counts;
    }

    public Loop loop() {
        return loop;
    }

    /**
     * Takes nothing new, answers what is held, then ends.
     *
     * @param millis the longest to wait for that; every access held has its answer before its own time is up
     * @return whether all was answered
     */
    public boolean leave(long millis) throws InterruptedException {
        ingress.leave();
        listener.stop();
        loop.tell(new Told.Leave());
        boolean clean = loop.awaitEnd(millis);
        ingress.awaitGoodbyes(LONGEST_GOODBYE);
        loop.kill();
        subscription.stop();
        if (console != null) {
            console.close();
        }
        wire.close();
        side.shutdown();
        LOG.info("{} has left{}: {}", setup.name(), clean ? "" : " with accesses unanswered", counts);
        return clean && loop.fault() == null;
    }

    /** Ends as a kill of the process would: sockets are reset and nothing is answered. */
    public void kill() {
        loop.kill();
        subscription.stop();
        if (console != null) {
            console.close();
        }
        wire.abort();
        side.shutdownNow();
    }

    /** Holds the loop, as a long pause of this process would hold it; for rehearsals. */
    public void standStill(long millis, Runnable afterwards) {
        loop.tell(new Told.Do(() -> {
            long until = Wire.micros() + millis * 1000;
            while (Wire.micros() < until) {
                java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
            }
            afterwards.run();
        }));
    }

    // ---- What the loop needs ----

    @Override
    public Dial dial(String target, Address address, long dial) {
        Wire.Attempt attempt = wire.connect(address.host(), address.port(), Role.INITIATOR,
                new LinkHandler(target, dial), toTargets,
                why -> loop.tell(new Told.DialFailed(target, dial, why)));
        return attempt::giveUp;
    }

    @Override
    public void follow(long version) {
        subscription.follow(version);
    }

    @Override
    public void listHeld(TargetList whole) {
        if (lastList != null && lastList.note(whole)) {
            side.execute(lastList::save);
        }
    }

    @Override
    public void provisioned(milletyoke.port.Provisioning provisioning) {
        ingress.provision(provisioning);
    }

    @Override
    public void freePlace(Line client, Access access, long stay) {
        gate.release(client, access, stay);
    }

    @Override
    public double roomUsed() {
        return gate.used();
    }

    @Override
    public int placesTaken() {
        return gate.places();
    }

    /** One connection to a target, from dialling to its end. */
    private final class LinkHandler implements PeerHandler {
        private final String target;
        private final long dial;
        private volatile boolean ready;

        LinkHandler(String target, long dial) {
            this.target = target;
            this.dial = dial;
        }

        @Override
        public void ready(Peer peer) {
            ready = true;
            loop.tell(new Told.Dialled(target, dial, peer));
        }

        @Override
        public void got(Peer peer, Frame frame) throws BadFrame {
            switch (frame.getBodyCase()) {
                case REPLY -> loop.tell(new Told.Replied(peer, frame.getReply()));
                case PROBE_REPLY -> loop.tell(new Told.ProbeReplied(peer, frame.getProbeReply().getNumber(),
                        frame.getProbeReply().getLoad()));
                default -> throw new BadFrame("a target sends replies, not " + frame.getBodyCase());
            }
        }

        @Override
        public void closed(Peer peer, String why) {
            LOG.debug("link to {} is gone: {}", target, why);
            faults.closed("target " + target, peer);
            loop.tell(ready ? new Told.LinkLost(target, peer, why) : new Told.DialFailed(target, dial, why));
        }
    }
}
