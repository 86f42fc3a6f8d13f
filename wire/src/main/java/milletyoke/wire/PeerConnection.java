package milletyoke.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import milletyoke.wire.proto.Close;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.GoingAway;
import milletyoke.wire.proto.Hello;
import milletyoke.wire.proto.Role;

/**
 * The other end of one connection. Any thread may send; the order of sends by one thread is kept.
 */
public abstract class PeerConnection implements Connection {
    /** The versions of the protocol that this build speaks. */
    static final int LOWEST_VERSION = 1, HIGHEST_VERSION = 2;

    /** The first version that knows a goodbye in two steps. */
    private static final int GOING_AWAY_VERSION = 2;

    /** What a frame that waits costs beside its bytes: a million tiny ones are no small thing. */
    private static final int FRAME_OVERHEAD_BYTES = 256;

    /** Posted frames leave at once from this size on. */
    private static final int FLUSH_THRESHOLD_BYTES = 256 * 1024;

    private final int id;
    private final LongSupplier clock;
    private final PeerListener handler;
    private final FrameLimits bounds;
    private final FrameObserver tap;
    private final AtomicLong unsentBytes = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();

    /** Of the one thread that posts. */
    private List<Frame> queuedFrames = new ArrayList<>();

    private int queuedBytes;
    private volatile String name = "";
    private volatile Role role = Role.ROLE_UNKNOWN;
    private volatile boolean hasReceivedHello;
    private volatile int protocolVersion;
    private volatile long lastActivityMicros;
    private volatile long incompleteSinceMicros;
    private volatile String protocolViolation;
    private volatile boolean isRefused;
    private volatile boolean hasProcessedNothing;

    /**
     * @param id unique in its world; a set of peers that is gone over goes in an order that follows
     *     from ids
     */
    protected PeerConnection(
            int id,
            PeerListener handler,
            FrameLimits bounds,
            FrameObserver tap,
            LongSupplier clock) {
        this.id = id;
        this.clock = clock;
        this.handler = handler;
        this.bounds = bounds;
        this.tap = tap;
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros = lastActivityMicros; // a hello is owed
    }

    @Override
    public int id() {
        return id;
    }

    /** What the peer calls itself, empty before its hello. */
    public String name() {
        return name;
    }

    public Role role() {
        return role;
    }

    @Override
    public boolean isOpen() {
        return !closed.get() && isConnected();
    }

    /** What this peer did that its connection was closed for; null where it did nothing wrong. */
    public String protocolViolation() {
        return protocolViolation;
    }

    /** Tells the peer what it did wrong and closes. */
    void closeForViolation(String what) {
        protocolViolation = what;
        closeWithReason(what);
    }

    /** Bytes handed over that the peer's side has not taken yet. */
    public long unsentBytes() {
        return unsentBytes.get();
    }

    @Override
    public boolean send(Frame frame) {
        int size = admit(frame);
        if (size == 0) {
            return false;
        }
        write(List.of(frame), size);
        return true;
    }

    @Override
    public boolean enqueue(Frame frame) {
        int size = admit(frame);
        if (size > 0) {
            queuedFrames.add(frame);
            queuedBytes += size;
        }
        if (queuedBytes >= FLUSH_THRESHOLD_BYTES) {
            flush();
        }
        return size > 0;
    }

    @Override
    public void flush() {
        if (!queuedFrames.isEmpty()) {
            List<Frame> frames = queuedFrames;
            int size = queuedBytes;
            queuedFrames = new ArrayList<>();
            queuedBytes = 0;
            write(frames, size);
        }
    }

    /** Counts a frame among what waits for the peer; 0 where it cannot be sent. */
    private int admit(Frame frame) {
        if (!isOpen()) {
            return 0;
        }
        int body = frame.getSerializedSize();
        int size = body + FRAME_OVERHEAD_BYTES;
        if (body > bounds.maxFrameBytes()) {
            throw new IllegalArgumentException(
                    "a frame of "
                            + body
                            + " bytes, "
                            + bounds.maxFrameBytes()
                            + " are the most on this connection");
        }
        if (unsentBytes.addAndGet(size) > bounds.maxUnsentBytes()) {
            unsentBytes.addAndGet(-size);
            // Guards the memory of this process against a peer that asks and does not read. Could
            // harm a peer that
            // stands still for long with much on its way to it; it may connect again.
            protocolViolation =
                    "reads too slowly: over " + bounds.maxUnsentBytes() + " bytes wait for it";
            close(protocolViolation);
            return 0;
        }
        lastActivityMicros = clock.getAsLong();
        tap.onFrame(this, Direction.SENT, frame);
        return size;
    }

    /** What was handed over has left; to be called once for each {@link #write}. */
    protected final void onWritten(int size) {
        unsentBytes.addAndGet(-size);
    }

    // ---- What carries it ----

    protected abstract boolean isConnected();

    /**
     * Takes frames to be delivered in this order, and tells {@link #onWritten} when they have left.
     */
    protected abstract void write(List<Frame> frames, int size);

    /** Closes; what was written before may still arrive. */
    protected abstract void disconnect();

    /** Closes so that the other end sees a reset. */
    protected abstract void disconnectWithReset();

    /**
     * Closes a connection of which nothing was taken, and says so, so that the other end may try
     * elsewhere what it sent. Only for one that was refused as it came, whose frames nobody will
     * look at.
     */
    public void refuse(String why) {
        isRefused = true;
        send(
                Frame.newBuilder()
                        .setClose(Close.newBuilder().setReason(why).setNothingProcessed(true))
                        .build());
        close(why);
    }

    /** Whether the other end said that it has taken nothing of what was sent on this connection. */
    public boolean hasProcessedNothing() {
        return hasProcessedNothing;
    }

    @Override
    public void closeWithReason(String why) {
        send(closeFrame(why));
        close(why);
    }

    /**
     * Tells the peer that nothing new is taken here and that it should close once it has all its
     * answers.
     *
     * @return whether the peer knows what that means; else only {@link #bye} remains
     */
    public boolean announceShutdown(String why) {
        return supportsGoingAway()
                && send(
                        Frame.newBuilder()
                                .setGoingAway(GoingAway.newBuilder().setReason(why))
                                .build());
    }

    public boolean supportsGoingAway() {
        return protocolVersion >= GOING_AWAY_VERSION;
    }

    static Frame closeFrame(String why) {
        return Frame.newBuilder().setClose(Close.newBuilder().setReason(why)).build();
    }

    @Override
    public void close(String why) {
        if (closed.compareAndSet(false, true)) {
            disconnect();
            tap.onFrame(this, Direction.CLOSED, null);
            handler.onClosed(this, why);
        }
    }

    /**
     * Closes so that the other end sees a reset, as after a kill of this process; the handler is
     * not told.
     */
    public void reset() {
        if (closed.compareAndSet(false, true)) {
            disconnectWithReset();
            tap.onFrame(this, Direction.CLOSED, null);
        }
    }

    protected final void sendHello(Role own, String ownName) {
        send(
                Frame.newBuilder()
                        .setHello(
                                Hello.newBuilder()
                                        .setLowestVersion(LOWEST_VERSION)
                                        .setHighestVersion(HIGHEST_VERSION)
                                        .setRole(own)
                                        .setName(ownName))
                        .build());
    }

    protected final void handleFrame(Frame frame) {
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros = 0;
        if (closed.get() || isRefused) {
            return;
        }
        tap.onFrame(this, Direction.GOT, frame);
        try {
            if (!hasReceivedHello) {
                acceptHello(frame);
                handler.onReady(this);
            } else if (frame.getBodyCase() == Frame.BodyCase.CLOSE) {
                hasProcessedNothing = frame.getClose().getNothingProcessed();
                close("the peer left: " + frame.getClose().getReason());
            } else if (frame.getBodyCase() == Frame.BodyCase.GOING_AWAY) {
                handler.onGoingAway(this, frame.getGoingAway().getReason());
            } else if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
                throw new MalformedFrameException("a frame with no body this version knows");
            } else {
                handler.onFrame(this, frame);
            }
        } catch (MalformedFrameException bad) {
            closeForViolation(bad.getMessage());
        }
    }

    private void acceptHello(Frame frame) throws MalformedFrameException {
        if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
            throw new MalformedFrameException(
                    "the first frame must be a hello, not " + frame.getBodyCase());
        }
        Hello hello = frame.getHello();
        if (hello.getHighestVersion() < LOWEST_VERSION
                || hello.getLowestVersion() > HIGHEST_VERSION) {
            throw new MalformedFrameException(
                    "versions "
                            + hello.getLowestVersion()
                            + " to "
                            + hello.getHighestVersion()
                            + " are offered, "
                            + LOWEST_VERSION
                            + " to "
                            + HIGHEST_VERSION
                            + " are spoken here");
        }
        if (hello.getName().length() > 200) {
            throw new MalformedFrameException("a name of over 200 characters");
        }
        name = hello.getName();
        role = hello.getRole();
        protocolVersion = Math.min(HIGHEST_VERSION, hello.getHighestVersion());
        hasReceivedHello = true;
    }

    void onPartialFrame() {
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros =
                incompleteSinceMicros == 0 ? lastActivityMicros : incompleteSinceMicros;
    }

    int maxFrameBytes() {
        return bounds.maxFrameBytes();
    }

    /** Closes what has been idle, or half received, for too long. */
    void closeIfTimedOut(long now) {
        if (incompleteSinceMicros > 0
                && now - incompleteSinceMicros > bounds.partialFrameTimeoutMicros()) {
            closeForViolation(
                    (hasReceivedHello ? "half a frame" : "no hello")
                            + " for "
                            + bounds.partialFrameTimeoutMicros() / 1000
                            + " ms");
        } else if (bounds.idleTimeoutMicros() > 0
                && now - lastActivityMicros > bounds.idleTimeoutMicros()) {
            closeWithReason("idle for " + bounds.idleTimeoutMicros() / 1000 + " ms");
        }
    }

    @Override
    public final int hashCode() {
        return id;
    }

    @Override
    public final boolean equals(Object other) {
        return this == other;
    }

    @Override
    public String toString() {
        return (name.isEmpty() ? "peer" : name) + "#" + id;
    }
}
