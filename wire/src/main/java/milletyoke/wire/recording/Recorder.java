package milletyoke.wire.recording;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
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
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;

/**
 * Writes the frames that participants sent and received to a file, without payloads, in the order
 * of the observers' calls. No record is dropped: if the disk is slower than the sockets, observers
 * block. Each recorder has one writer thread.
 */
public final class Recorder implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 1 << 16;
    private static final int BUFFER_BYTES = 1 << 18;
    private static final long OFFER_TIMEOUT_MILLIS = 100;
    private static final long WRITER_JOIN_MILLIS = 30_000;
    private static final Record END = Record.getDefaultInstance();

    private final ArrayBlockingQueue<Record> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final LongSupplier clock;
    private final OutputStream out;
    private final Thread writer;
    private volatile IOException failure;

    /**
     * Creates or overwrites a file and starts the writer thread.
     *
     * @param clock the monotonic clock of the recorded environment, in microseconds
     * @throws IOException if the file cannot be opened
     */
    public Recorder(Path file, LongSupplier clock) throws IOException {
        this.clock = clock;
        out = new BufferedOutputStream(Files.newOutputStream(file), BUFFER_BYTES);
        writer = new Thread(this::writeRecords, "recorder");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns an observer that records a participant's frames under the participant's name. */
    public FrameObserver observer(String participant) {
        return (peer, direction, frame) -> recordFrame(participant, peer, direction, frame);
    }

    private void recordFrame(
            String participant, PeerConnection peer, Direction direction, Frame frame) {
        Record.Builder record =
                Record.newBuilder()
                        .setAtMicros(clock.getAsLong())
                        .setObserver(participant)
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
            case REQUEST -> withoutPayload(frame, frame.getRequest());
            case ATTEMPT -> withoutPayload(frame, frame.getAttempt());
            case RESPONSE -> withoutPayload(frame, frame.getResponse());
            case ATTEMPT_REPLY -> withoutPayload(frame, frame.getAttemptReply());
            default -> frame;
        };
    }

    private static Frame withoutPayload(Frame frame, Request request) {
        if (request.getPayload().isEmpty()) {
            return frame;
        }
        Request.Builder stripped = request.toBuilder().setPayload(ByteString.EMPTY);
        return frame.toBuilder().setRequest(stripped).build();
    }

    private static Frame withoutPayload(Frame frame, Attempt attempt) {
        if (attempt.getPayload().isEmpty()) {
            return frame;
        }
        Attempt.Builder stripped = attempt.toBuilder().setPayload(ByteString.EMPTY);
        return frame.toBuilder().setAttempt(stripped).build();
    }

    private static Frame withoutPayload(Frame frame, Response response) {
        if (response.getPayload().isEmpty()) {
            return frame;
        }
        Response.Builder stripped = response.toBuilder().setPayload(ByteString.EMPTY);
        return frame.toBuilder().setResponse(stripped).build();
    }

    private static Frame withoutPayload(Frame frame, AttemptReply reply) {
        if (reply.getPayload().isEmpty()) {
            return frame;
        }
        AttemptReply.Builder stripped = reply.toBuilder().setPayload(ByteString.EMPTY);
        return frame.toBuilder().setAttemptReply(stripped).build();
    }

    /** Records an event of a participant other than a frame, such as its start. */
    public void note(String participant, Note.Kind kind, String text, double value) {
        put(
                Record.newBuilder()
                        .setAtMicros(clock.getAsLong())
                        .setObserver(participant)
                        .setNote(Note.newBuilder().setKind(kind).setText(text).setFigure(value))
                        .build());
    }

    private void put(Record record) {
        if (failure != null) {
            return;
        }
        try {
            queue.put(record);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @SuppressWarnings("ReferenceEquality") // END is compared by identity
    private void writeRecords() {
        try (out) {
            for (Record record = queue.take(); record != END; record = queue.take()) {
                record.writeDelimitedTo(out);
            }
        } catch (IOException cause) {
            failure = cause;
            queue.clear();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Writes all queued records and closes the file.
     *
     * @throws IOException if a record could not be written, so that the recording is incomplete
     */
    @Override
    public void close() throws IOException {
        try {
            while (failure == null
                    && !queue.offer(END, OFFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                // the queue is full until the writer removes records or fails
            }
            writer.join(WRITER_JOIN_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw failure;
        }
    }

    /**
     * Passes the records of a recording to a consumer, one by one. A truncated last record, as left
     * by a killed process, ends the recording without an error.
     *
     * @throws IOException if the file cannot be read or is not a recording
     */
    public static void read(Path file, Consumer<Record> consumer) throws IOException {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES)) {
            for (Record record = readRecord(in, file);
                    record != null;
                    record = readRecord(in, file)) {
                consumer.accept(record);
            }
        } catch (UncheckedIOException fromConsumer) {
            throw fromConsumer.getCause();
        }
    }

    private static Record readRecord(InputStream in, Path file) throws IOException {
        try {
            return Record.parseDelimitedFrom(in);
        } catch (InvalidProtocolBufferException malformed) {
            if (in.available() == 0) {
                return null;
            }
            throw new IOException(
                    file + ": not a recording, or damaged: " + malformed.getMessage());
        }
    }

    /**
     * Reads an entire recording into memory.
     *
     * @throws IOException as for {@link #read}
     */
    public static List<Record> readAll(Path file) throws IOException {
        List<Record> records = new ArrayList<>();
        read(file, records::add);
        return records;
    }
}
