package milletyoke.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
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
import milletyoke.port.Decisions;
import milletyoke.wire.BadFrame;
import milletyoke.wire.Bounds;
import milletyoke.wire.Line;
import milletyoke.wire.Net;
import milletyoke.wire.Peer;
import milletyoke.wire.PeerHandler;
import milletyoke.wire.Sockets;
import milletyoke.wire.Tap;
import milletyoke.wire.World;
import milletyoke.wire.capture.CaptureWriter;
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
    private final World world;
    private final Net wire;
    private final Loop loop;
    private final Faults faults;
    private final Ingress ingress;
    private final Net.Listener listener;
    private final LastList lastList;
    private final Subscription subscription;
    private final ScheduledExecutorService side;
    private final Bounds toTargets;
    private final Following following;
    private Console console;
    private CaptureWriter capture;

    private Initiator(Setup setup, Tap tap, World world, long seed, Supplier<Decisions> instead)
            throws IOException {
        this.setup = setup;
        this.world = world;
        Setup.Room r = setup.room();
        gate =
                new Gate(
                        new Admission.Room(
                                r.held(),
                                r.bytes(),
                                r.connectionPart(),
                                r.greed(),
                                setup.deployment().provisioning().allowances().longestAdvice()));
        lastList = setup.folder() == null ? null : new LastList(setup.folder(), !world.isVirtual());
        Setup.Transport t = setup.transport();
        toTargets = new Bounds(t.frameBytes(), t.waitingBytes(), t.partialTime(), 0);
        wire = world.net(setup.name(), t.threads(), tap);
        side = world.clockwork(setup.name() + "-side", 1);
        loop = new Loop(setup, this, world, counts, instead);
        faults = new Faults(counts, world::micros);
        ingress = new Ingress(setup, world, loop, counts, gate, faults);
        following =
                setup.fleet() == null
                        ? null
                        : new Following(
                                setup.fleet().file(),
                                setup.folder(),
                                setup.fleet().fleet(),
                                setup.fleet().files(),
                                this::follow);
        if (setup.fleet() != null) {
            ingress.configure(setup.fleet().fleet());
        }
        subscription = new Subscription(setup, wire, loop, side, ~seed);
        try {
            listener =
                    wire.listen(
                            setup.listen().host(),
                            setup.listen().port(),
                            Role.INITIATOR,
                            ingress,
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
        return start(setup, tap, new Sockets(), ThreadLocalRandom.current().nextLong(), null);
    }

    /**
     * Starts one in a world.
     *
     * @param seed of all its chance: of the decisions, and of waits before it connects again
     * @param instead of the product's decisions, in a lab; null in service
     */
    public static Initiator start(
            Setup setup, Tap tap, World world, long seed, Supplier<Decisions> instead)
            throws IOException, SetupError {
        Initiator made = new Initiator(setup, tap, world, seed, instead);
        TargetList restored = made.lastList == null ? null : made.lastList.load();
        made.loop.start(seed, restored);
        if (setup.console() != null) {
            try {
                made.console =
                        new Console(setup.console(), setup, made.loop, made.counts, made.following);
            } catch (IOException | SetupError unusable) {
                made.kill();
                throw unusable;
            }
        }
        if (made.following != null) {
            made.side.scheduleWithFixedDelay(made.following::look, 500, 500, TimeUnit.MILLISECONDS);
        }
        made.subscription.connect();
        LOG.info(
                "{} takes accesses at {}:{}, {} targets known from before",
                setup.name(),
                setup.listen().host(),
                made.port(),
                restored == null ? 0 : restored.getTargetCount());
        return made;
    }

    /**
     * A version that holds from now on: the decisions know its plans before any access can name
     * one.
     */
    private void follow(Fleet fleet) {
        loop.tell(new Told.Reprovision(FromFleet.deployment(fleet).provisioning()));
        loop.tell(new Told.Do(() -> ingress.configure(fleet)));
    }

    public String name() {
        return setup.name();
    }

    public int port() {
        return listener.port();
    }

    /**
     * Keeps what comes in from now on and could be taken, for replay. The daemon is not held up by
     * it: what a slow disk cannot take is left out and counted in the file.
     *
     * @throws IOException where the file cannot be made, or is there already
     */
    public synchronized void capture(Path file) throws IOException {
        CaptureWriter writer = new CaptureWriter(file, setup.name(), world.micros());
        capture = writer;
        ingress.capture(writer);
        side.scheduleWithFixedDelay(() -> flush(writer), 500, 500, TimeUnit.MILLISECONDS);
    }

    private void flush(CaptureWriter writer) {
        try {
            writer.flush();
        } catch (IOException failed) {
            LOG.warn("the capture of traffic ends here: {}", failed.toString());
            ingress.capture(null);
        }
    }

    private synchronized void endCapture() {
        if (capture != null) {
            ingress.capture(null);
            try {
                capture.close();
            } catch (IOException failed) {
                LOG.warn(
                        "the last of the captured traffic could not be written: {}",
                        failed.toString());
            }
            capture = null;
        }
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
     * @param millis the longest to wait for that; every access held has its answer before its own
     *     time is up
     * @return whether all was answered
     */
    public boolean leave(long millis) throws InterruptedException {
        beginLeaving();
        boolean clean = loop.awaitEnd(millis);
        ingress.awaitGoodbyes(LONGEST_GOODBYE);
        return end(clean);
    }

    private void beginLeaving() {
        ingress.leave();
        listener.stop();
        loop.tell(new Told.Leave());
    }

    /**
     * As {@link #leave}, for those who cannot wait: looks every few milliseconds whether all is
     * answered.
     *
     * @param then is run when it has ended
     */
    public void leaveLater(long millis, Runnable then) {
        beginLeaving();
        look(world.micros() + millis * 1000, then);
    }

    private void look(long until, Runnable then) {
        if (!loop.hasEnded() && world.micros() < until) {
            side.schedule(() -> look(until, then), 5, TimeUnit.MILLISECONDS);
        } else {
            lookForGoodbyes(world.micros() + LONGEST_GOODBYE * 1000, then);
        }
    }

    private void lookForGoodbyes(long until, Runnable then) {
        if (ingress.owesGoodbyes() && world.micros() < until) {
            side.schedule(() -> lookForGoodbyes(until, then), 5, TimeUnit.MILLISECONDS);
        } else {
            end(loop.hasEnded());
            then.run();
        }
    }

    private boolean end(boolean clean) {
        endCapture();
        loop.kill();
        subscription.stop();
        if (console != null) {
            console.close();
        }
        wire.close();
        side.shutdown();
        LOG.info(
                "{} has left{}: {}",
                setup.name(),
                clean ? "" : " with accesses unanswered",
                counts);
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
        loop.standStill(millis * 1000, afterwards);
    }

    // ---- What the loop needs ----

    @Override
    public Dial dial(String target, Address address, long dial) {
        Net.Attempt attempt =
                wire.connect(
                        address.host(),
                        address.port(),
                        Role.INITIATOR,
                        new LinkHandler(target, dial),
                        toTargets,
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
                case REPLY -> loop.tell(new Told.Replied(peer, frame.getReply(), world.micros()));
                case PROBE_REPLY ->
                        loop.tell(
                                new Told.ProbeReplied(
                                        peer,
                                        frame.getProbeReply().getNumber(),
                                        frame.getProbeReply().getLoad(),
                                        world.micros()));
                default -> throw new BadFrame("a target sends replies, not " + frame.getBodyCase());
            }
        }

        @Override
        public void closed(Peer peer, String why) {
            LOG.debug("link to {} is gone: {}", target, why);
            faults.closed("target " + target, peer);
            loop.tell(
                    ready
                            ? new Told.LinkLost(target, peer, why, peer.tookNothing(), 0)
                            : new Told.DialFailed(target, dial, why));
        }
    }
}
