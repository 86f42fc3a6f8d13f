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
 * One connection and what is known of its peer: hello handshake, limits, close. Subclasses carry
 * the frames. Any thread may send, and the order of sends by one thread is kept; received frames
 * are handled on the I/O thread.
 */
public abstract class PeerConnection implements Connection {
    /** The lowest protocol version that this build supports. */
    static final int LOWEST_VERSION = 1;

    /** The highest protocol version that this build supports. */
    static final int HIGHEST_VERSION = 2;

    /** The first version with the frame that announces a graceful shutdown. */
    private static final int GOING_AWAY_VERSION = 2;

    /** Counted for each unsent frame besides its bytes: many small frames need memory, too. */
    private static final int FRAME_OVERHEAD_BYTES = 256;

    /** Enqueued frames are flushed at once from this size on. */
    private static final int FLUSH_THRESHOLD_BYTES = 256 * 1024;

    private static final int MAX_NAME_LENGTH = 200;
    private static final long MICROS_PER_MILLI = 1_000;

    private final int id;
    private final LongSupplier clock;
    private final PeerListener listener;
    private final FrameLimits limits;
    private final FrameObserver observer;
    private final AtomicLong unsentBytes = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();

    /** Used by the one thread that enqueues and flushes. */
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
     * Creates an open connection whose hello is expected.
     *
     * @param id unique in its environment; it is the hash code, so that iteration over a set of
     *     peers has the same order in every run of a simulation
     * @param clock monotonic, in microseconds
     */
    protected PeerConnection(
            int id,
            PeerListener listener,
            FrameLimits limits,
            FrameObserver observer,
            LongSupplier clock) {
        this.id = id;
        this.clock = clock;
        this.listener = listener;
        this.limits = limits;
        this.observer = observer;
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros = lastActivityMicros; // the peer's hello is expected
    }

    @Override
    public int id() {
        return id;
    }

    /** The name that the peer stated in its hello; empty before it. */
    public String name() {
        return name;
    }

    /** The role that the peer stated in its hello. */
    public Role role() {
        return role;
    }

    @Override
    public boolean isOpen() {
        return !closed.get() && isConnected();
    }

    /** The protocol violation that the connection was closed for; null where there was none. */
    public String protocolViolation() {
        return protocolViolation;
    }

    /** Closes because the peer violated the protocol, and sends it the reason. */
    void closeForViolation(String violation) {
        protocolViolation = violation;
        closeWithReason(violation);
    }

    /** Bytes of frames that were handed over and not yet written to the network. */
    public long unsentBytes() {
        return unsentBytes.get();
    }

    @Override
    public boolean send(Frame frame) {
        int size = reserve(frame);
        if (size == 0) {
            return false;
        }
        write(List.of(frame), size);
        return true;
    }

    @Override
    public boolean enqueue(Frame frame) {
        int size = reserve(frame);
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

    /**
     * Reserves a frame's size in the unsent bytes.
     *
     * @return the reserved size; 0 where the frame cannot be sent
     */
    private int reserve(Frame frame) {
        if (!isOpen()) {
            return 0;
        }
        int body = frame.getSerializedSize();
        int size = body + FRAME_OVERHEAD_BYTES;
        if (body > limits.maxFrameBytes()) {
            throw new IllegalArgumentException(
                    "a frame of "
                            + body
                            + " bytes, "
                            + limits.maxFrameBytes()
                            + " are the most on this connection");
        }
        if (unsentBytes.addAndGet(size) > limits.maxUnsentBytes()) {
            unsentBytes.addAndGet(-size);
            // Bounds the memory that a peer which does not read can use. It may hit a peer that
            // was stalled with much data in flight to it; that peer may connect again.
            protocolViolation =
                    "reads too slowly: over " + limits.maxUnsentBytes() + " bytes wait for it";
            close(protocolViolation);
            return 0;
        }
        lastActivityMicros = clock.getAsLong();
        observer.onFrame(this, Direction.SENT, frame);
        return size;
    }

    /** To be called once for each {@link #write}, when it has completed or failed. */
    protected final void onWritten(int size) {
        unsentBytes.addAndGet(-size);
    }

    /** Whether the underlying transport is connected. */
    protected abstract boolean isConnected();

    /** Writes frames in this order without waiting, and calls {@link #onWritten} afterwards. */
    protected abstract void write(List<Frame> frames, int size);

    /** Closes the transport; what was written before may still arrive. */
    protected abstract void disconnect();

    /** Closes the transport so that the peer sees a reset. */
    protected abstract void disconnectWithReset();

    /**
     * Closes a connection none of whose frames was processed and tells the peer so, which may then
     * retry elsewhere. Only for a connection that is refused on accept: its frames are ignored.
     */
    public void refuse(String reason) {
        isRefused = true;
        send(
                Frame.newBuilder()
                        .setClose(Close.newBuilder().setReason(reason).setNothingProcessed(true))
                        .build());
        close(reason);
    }

    /** Whether the peer stated that it processed nothing that was sent on this connection. */
    public boolean hasProcessedNothing() {
        return hasProcessedNothing;
    }

    @Override
    public void closeWithReason(String reason) {
        send(closeFrame(reason));
        close(reason);
    }

    /**
     * Tells the peer that no new requests are accepted here and that it should close once it has
     * received all responses.
     *
     * @return whether the peer supports this; if not, only {@link #closeWithReason} remains
     */
    public boolean announceShutdown(String reason) {
        return supportsGoingAway()
                && send(
                        Frame.newBuilder()
                                .setGoingAway(GoingAway.newBuilder().setReason(reason))
                                .build());
    }

    /** Whether the peer's protocol version has the frame that announces a graceful shutdown. */
    public boolean supportsGoingAway() {
        return protocolVersion >= GOING_AWAY_VERSION;
    }

    static Frame closeFrame(String reason) {
        return Frame.newBuilder().setClose(Close.newBuilder().setReason(reason)).build();
    }

    @Override
    public void close(String reason) {
        if (closed.compareAndSet(false, true)) {
            disconnect();
            observer.onFrame(this, Direction.CLOSED, null);
            listener.onClosed(this, reason);
        }
    }

    /**
     * Closes so that the peer sees a reset, as after a kill of this process. The listener is not
     * called.
     */
    public void reset() {
        if (closed.compareAndSet(false, true)) {
            disconnectWithReset();
            observer.onFrame(this, Direction.CLOSED, null);
        }
    }

    /** Sends this end's hello, which must be the first frame. */
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

    /** Handles a received frame; to be called by one thread at a time. */
    protected final void handleFrame(Frame frame) {
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros = 0;
        if (closed.get() || isRefused) {
            return;
        }
        observer.onFrame(this, Direction.GOT, frame);
        try {
            dispatch(frame);
        } catch (MalformedFrameException malformed) {
            closeForViolation(malformed.getMessage());
        }
    }

    private void dispatch(Frame frame) throws MalformedFrameException {
        if (!hasReceivedHello) {
            acceptHello(frame);
            listener.onReady(this);
            return;
        }
        switch (frame.getBodyCase()) {
            case CLOSE -> {
                hasProcessedNothing = frame.getClose().getNothingProcessed();
                close("the peer left: " + frame.getClose().getReason());
            }
            case GOING_AWAY -> listener.onGoingAway(this, frame.getGoingAway().getReason());
            case BODY_NOT_SET ->
                    throw new MalformedFrameException("a frame with no body this version knows");
            default -> listener.onFrame(this, frame);
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
        if (hello.getName().length() > MAX_NAME_LENGTH) {
            throw new MalformedFrameException("a name of over " + MAX_NAME_LENGTH + " characters");
        }
        name = hello.getName();
        role = hello.getRole();
        protocolVersion = Math.min(HIGHEST_VERSION, hello.getHighestVersion());
        hasReceivedHello = true;
    }

    /** Only a part of a frame has been received so far. */
    void onPartialFrame() {
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros =
                incompleteSinceMicros == 0 ? lastActivityMicros : incompleteSinceMicros;
    }

    int maxFrameBytes() {
        return limits.maxFrameBytes();
    }

    /**
     * Closes the connection where it has been idle, or a frame or hello incomplete, for too long.
     *
     * @param nowMicros on the connection's clock
     */
    void closeIfTimedOut(long nowMicros) {
        if (incompleteSinceMicros > 0
                && nowMicros - incompleteSinceMicros > limits.partialFrameTimeoutMicros()) {
            closeForViolation(
                    (hasReceivedHello ? "half a frame" : "no hello")
                            + " for "
                            + limits.partialFrameTimeoutMicros() / MICROS_PER_MILLI
                            + " ms");
        } else if (limits.idleTimeoutMicros() > 0
                && nowMicros - lastActivityMicros > limits.idleTimeoutMicros()) {
            closeWithReason("idle for " + limits.idleTimeoutMicros() / MICROS_PER_MILLI + " ms");
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
