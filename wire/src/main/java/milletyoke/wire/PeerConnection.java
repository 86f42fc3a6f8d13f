package milletyoke.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import milletyoke.wire.proto.Close;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.GoingAway;
import milletyoke.wire.proto.Role;

/**
 * A connection to one peer: performs the hello handshake, enforces the limits and closes the
 * connection. Subclasses transport the frames. Any thread may send, and frames sent by the same
 * thread stay in order; received frames are handled on the I/O thread.
 */
public abstract class PeerConnection implements Connection {
    /** The first protocol version with the frame that announces a graceful shutdown. */
    private static final int GOING_AWAY_VERSION = 2;

    /** Memory overhead counted for each unsent frame in addition to its encoded bytes. */
    private static final int FRAME_OVERHEAD_BYTES = 256;

    /** Size of enqueued frames from which they are flushed immediately. */
    private static final int FLUSH_THRESHOLD_BYTES = 256 * 1024;

    private static final long MICROS_PER_MILLI = 1_000;

    private final int id;
    private final LongSupplier clock;
    private final PeerListener listener;
    private final FrameLimits limits;
    private final FrameObserver observer;
    private final AtomicLong unsentBytes = new AtomicLong();

    /** Written under the connection's lock. */
    private volatile boolean isClosed;

    /** Used only by the thread that enqueues and flushes. */
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
     * Creates an open connection that expects the peer's hello.
     *
     * @param id unique in its environment; also the hash code, so that iteration over a set of
     *     peers has the same order in every run of a simulation
     * @param clock the monotonic clock, in microseconds
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
        incompleteSinceMicros = lastActivityMicros; // the hello counts as incomplete until received
    }

    @Override
    public int id() {
        return id;
    }

    /** Returns the name that the peer sent in its hello; empty before the hello. */
    public String name() {
        return name;
    }

    /** Returns the role that the peer sent in its hello. */
    public Role role() {
        return role;
    }

    @Override
    public boolean isOpen() {
        return !isClosed && isConnected();
    }

    /**
     * Returns the protocol violation for which the connection was closed, or null if there was
     * none.
     */
    public String protocolViolation() {
        return protocolViolation;
    }

    /**
     * Closes the connection for a protocol violation of the peer, and sends the reason to the peer.
     */
    void closeForViolation(String violation) {
        protocolViolation = violation;
        closeWithReason(violation);
    }

    /** Returns the size of all frames that were accepted and not yet written to the network. */
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
     * Adds a frame's size to the unsent bytes, and closes the connection if the limit is exceeded.
     *
     * @return the added size, or 0 if the frame cannot be sent
     */
    private int reserve(Frame frame) {
        if (!isOpen()) {
            return 0;
        }
        int frameBytes = frame.getSerializedSize();
        int size = frameBytes + FRAME_OVERHEAD_BYTES;
        if (frameBytes > limits.maxFrameBytes()) {
            throw new IllegalArgumentException(
                    "frame of "
                            + frameBytes
                            + " bytes exceeds the limit of "
                            + limits.maxFrameBytes()
                            + " bytes on this connection");
        }
        if (unsentBytes.addAndGet(size) > limits.maxUnsentBytes()) {
            unsentBytes.addAndGet(-size);
            // Bounds the memory used for a peer that does not read. This also disconnects a peer
            // that was merely stalled while much data was in flight to it; it may reconnect.
            protocolViolation =
                    "peer reads too slowly: more than " + limits.maxUnsentBytes() + " bytes unsent";
            close(protocolViolation);
            return 0;
        }
        lastActivityMicros = clock.getAsLong();
        observer.onFrame(this, Direction.SENT, frame);
        return size;
    }

    /** To be called once for each {@link #write}, after it has completed or failed. */
    protected final void onWritten(int size) {
        unsentBytes.addAndGet(-size);
    }

    /** Returns whether the underlying transport is connected. */
    protected abstract boolean isConnected();

    /**
     * Writes frames in the given order without waiting, and calls {@link #onWritten} afterwards.
     */
    protected abstract void write(List<Frame> frames, int size);

    /**
     * Ends the output, without waiting: when this returns, the peer receives nothing that was not
     * handed to the operating system before, and then the end of the connection.
     */
    protected abstract void endOutput();

    /** Closes the transport after {@link #endOutput}. */
    protected abstract void disconnect();

    /** Closes the transport so that the peer sees a reset. */
    protected abstract void disconnectWithReset();

    /**
     * Closes the connection and informs the peer that none of its frames was processed, so that the
     * peer may retry elsewhere. Only for a connection that is refused on accept, since its frames
     * are ignored afterwards.
     */
    public void refuse(String reason) {
        isRefused = true;
        send(
                Frame.newBuilder()
                        .setClose(Close.newBuilder().setReason(reason).setNothingProcessed(true))
                        .build());
        close(reason);
    }

    /** Returns whether the peer reported that it processed no frame of this connection. */
    public boolean hasProcessedNothing() {
        return hasProcessedNothing;
    }

    @Override
    public void closeWithReason(String reason) {
        send(closeFrame(reason));
        close(reason);
    }

    /**
     * Informs the peer that this end accepts no new requests, and that the peer should close the
     * connection after it has received all responses.
     *
     * @return whether the announcement was sent; false if the peer's protocol version does not
     *     support it or the connection is closed
     */
    public boolean announceShutdown(String reason) {
        return supportsGoingAway()
                && send(
                        Frame.newBuilder()
                                .setGoingAway(GoingAway.newBuilder().setReason(reason))
                                .build());
    }

    /**
     * Returns whether the peer's protocol version has the frame that announces a graceful shutdown.
     */
    public boolean supportsGoingAway() {
        return protocolVersion >= GOING_AWAY_VERSION;
    }

    static Frame closeFrame(String reason) {
        return Frame.newBuilder().setClose(Close.newBuilder().setReason(reason)).build();
    }

    @Override
    public void close(String reason) {
        if (endForPeer()) {
            disconnect();
            observer.onFrame(this, Direction.CLOSED, null);
            listener.onClosed(this, reason);
        }
    }

    /**
     * Ends the connection for the peer. Holds the lock, so that a thread that closes the connection
     * at the same time does not return before that.
     *
     * @return false if the connection was already closed
     */
    private synchronized boolean endForPeer() {
        if (isClosed) {
            return false;
        }
        isClosed = true;
        endOutput();
        return true;
    }

    private synchronized boolean markClosed() {
        boolean wasOpen = !isClosed;
        isClosed = true;
        return wasOpen;
    }

    /**
     * Closes the connection so that the peer sees a reset, as if this process were killed. The
     * listener is not called.
     */
    public void reset() {
        if (markClosed()) {
            disconnectWithReset();
            observer.onFrame(this, Direction.CLOSED, null);
        }
    }

    /** Sends the hello of this end, which must be the first frame. */
    protected final void sendHello(Role ownRole, String ownName) {
        send(PeerHello.frame(ownRole, ownName));
    }

    /** Handles a received frame. To be called by one thread at a time. */
    protected final void handleFrame(Frame frame) {
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros = 0;
        if (isClosed || isRefused) {
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
                close("closed by the peer: " + frame.getClose().getReason());
            }
            case GOING_AWAY -> listener.onGoingAway(this, frame.getGoingAway().getReason());
            case BODY_NOT_SET ->
                    throw new MalformedFrameException("a frame with no body this version knows");
            default -> listener.onFrame(this, frame);
        }
    }

    private void acceptHello(Frame frame) throws MalformedFrameException {
        PeerHello hello = PeerHello.accept(frame);
        name = hello.name();
        role = hello.role();
        protocolVersion = hello.protocolVersion();
        hasReceivedHello = true;
    }

    /** Called when a frame has been received in part only. */
    void onPartialFrame() {
        lastActivityMicros = clock.getAsLong();
        incompleteSinceMicros =
                incompleteSinceMicros == 0 ? lastActivityMicros : incompleteSinceMicros;
    }

    int maxFrameBytes() {
        return limits.maxFrameBytes();
    }

    /**
     * Closes the connection if it has been idle, or a frame or the hello incomplete, for longer
     * than the timeout.
     *
     * @param nowMicros the time on the connection's clock
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
