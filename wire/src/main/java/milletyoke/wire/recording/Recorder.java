package milletyoke.wire.recording;

import com.google.protobuf.ByteString;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;

/**
 * Writes what the ends of connections saw to a file, in the order they told it; payloads are left
 * out. Nothing is dropped: where the disk is slower than the sockets, those who tell wait.
 */
public final class Recorder implements AutoCloseable {
    private static final Record END = Record.getDefaultInstance();

    private final ArrayBlockingQueue<Record> queue = new ArrayBlockingQueue<>(1 << 16);
    private final LongSupplier clock;
    private final OutputStream out;
    private final Thread writer;
    private volatile IOException failure;

    /**
     * @param clock of the world that is recorded (microseconds)
     */
    public Recorder(Path file, LongSupplier clock) throws IOException {
        this.clock = clock;
        out = new BufferedOutputStream(Files.newOutputStream(file), 1 << 18);
        writer = new Thread(this::write, "recorder");
        writer.setDaemon(true);
        writer.start();
    }

    /** What one participant's connections see is recorded under its name. */
    public FrameObserver observer(String witness) {
        return (peer, direction, frame) -> recordFrame(witness, peer, direction, frame);
    }

    private void recordFrame(
            String witness, PeerConnection peer, Direction direction, Frame frame) {
        Record.Builder record =
                Record.newBuilder()
                        .setAtMicros(clock.getAsLong())
                        .setObserver(witness)
                        .setPeer(peer.name())
                        .setConnection(peer.id())
                        .setDirection(direction);
        if (frame != null) {
            record.setFrame(withoutPayload(frame));
        }
        put(record.build());
    }

    private static Frame withoutPayload(Frame frame) {
        return switch (frame.getBodyCase()) {
            case REQUEST ->
                    frame.getRequest().getPayload().isEmpty()
                            ? frame
                            : frame.toBuilder()
                                    .setRequest(
                                            frame.getRequest().toBuilder()
                                                    .setPayload(ByteString.EMPTY))
                                    .build();
            case ATTEMPT ->
                    frame.getAttempt().getPayload().isEmpty()
                            ? frame
                            : frame.toBuilder()
                                    .setAttempt(
                                            frame.getAttempt().toBuilder()
                                                    .setPayload(ByteString.EMPTY))
                                    .build();
            case RESPONSE ->
                    frame.getResponse().getPayload().isEmpty()
                            ? frame
                            : frame.toBuilder()
                                    .setResponse(
                                            frame.getResponse().toBuilder()
                                                    .setPayload(ByteString.EMPTY))
                                    .build();
            case ATTEMPT_REPLY ->
                    frame.getAttemptReply().getPayload().isEmpty()
                            ? frame
                            : frame.toBuilder()
                                    .setAttemptReply(
                                            frame.getAttemptReply().toBuilder()
                                                    .setPayload(ByteString.EMPTY))
                                    .build();
            default -> frame;
        };
    }

    /** Records what was done to a part, or what it did on no connection. */
    public void note(String witness, Note.Kind kind, String text, double figure) {
        put(
                Record.newBuilder()
                        .setAtMicros(clock.getAsLong())
                        .setObserver(witness)
                        .setNote(Note.newBuilder().setKind(kind).setText(text).setFigure(figure))
                        .build());
    }

    private void put(Record record) {
        if (failure != null) {
            return;
        }
        try {
            queue.put(record);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void write() {
        try (out) {
            for (Record record = queue.take(); record != END; record = queue.take()) {
                record.writeDelimitedTo(out);
            }
        } catch (IOException cause) {
            failure = cause;
            queue.clear();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * @throws IOException where any record could not be written: the recording is of no use then
     */
    @Override
    public void close() throws IOException {
        try {
            while (failure == null && !queue.offer(END, 100, TimeUnit.MILLISECONDS)) {
                continue;
            }
            writer.join(30_000);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw failure;
        }
    }

    /**
     * Reads a recording. A record cut off at the end, as a kill leaves it, ends the reading without
     * an error.
     */
    public static void read(Path file, Consumer<Record> each) throws IOException {
        try (InputStream in =
                new java.io.BufferedInputStream(Files.newInputStream(file), 1 << 18)) {
            for (Record record = next(in, file); record != null; record = next(in, file)) {
                each.accept(record);
            }
        } catch (UncheckedIOException inside) {
            throw inside.getCause();
        }
    }

    private static Record next(InputStream in, Path file) throws IOException {
        try {
            return Record.parseDelimitedFrom(in);
        } catch (com.google.protobuf.InvalidProtocolBufferException bad) {
            if (in.available() == 0) {
                return null;
            }
            throw new IOException(file + ": not a recording, or damaged: " + bad.getMessage());
        }
    }

    public static List<Record> readAll(Path file) throws IOException {
        List<Record> all = new ArrayList<>();
        read(file, all::add);
        return all;
    }
}
