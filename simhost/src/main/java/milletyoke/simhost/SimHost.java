package milletyoke.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;

/**
 * Hosts the schedulers of all simulated initiators. Each start of an initiator creates a new
 * scheduler; schedulers share no state. Not safe for use by several threads.
 */
public final class SimHost {
    private final BufferedReader in;
    private final Writer out;
    private final Map<String, RequestScheduler> schedulers = new HashMap<>();

    /** Attempts since the last batch; the simulator writes them at once and does not report it. */
    private final Map<String, List<Event>> writtenByInstance = new HashMap<>();

    private final Map<String, Integer> queueLengthIndexes = new HashMap<>();
    private long line;

    /** Creates a host that reads frames from {@code in} and writes replies to {@code out}. */
    public SimHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Reads batches of events and replies to each with the resulting actions until the input ends.
     *
     * @throws IOException if reading or writing fails
     * @throws MalformedFrameException if the input is not a valid sequence of frames
     */
    public void run() throws IOException {
        for (Frame frame = read(); frame != null; frame = read()) {
            if (!frame.type().equals("BATCH")) {
                throw frame.malformed("expected BATCH, got " + frame.type());
            }
            out.write(reply(frame.longValue(1), readBatch()));
            out.flush();
        }
    }

    /**
     * Reads the rest of one batch and returns its events by instance. A shutdown removes the
     * instance's scheduler and discards the instance's earlier events in the batch.
     */
    private Map<String, List<Event>> readBatch() throws IOException {
        Map<String, List<Event>> eventsByInstance = new LinkedHashMap<>();
        String instance = null;
        for (Frame frame = readInBatch(); !frame.type().equals("END"); frame = readInBatch()) {
            if (frame.type().equals("ABOUT")) {
                instance = frame.text(1);
                continue;
            }
            if (instance == null) {
                throw frame.malformed(frame.type() + " before the first ABOUT");
            }
            List<Event> events = eventsByInstance.computeIfAbsent(instance, i -> new ArrayList<>());
            switch (frame.type()) {
                case "SHUTDOWN" -> {
                    schedulers.remove(instance);
                    writtenByInstance.remove(instance);
                    events.clear();
                }
                case "FLEET" -> events.add(readEndpointList(frame));
                default -> add(events, frame, instance);
            }
        }
        return eventsByInstance;
    }

    private void add(List<Event> events, Frame frame, String instance) {
        Event event = EventReader.read(frame, queueLengthIndexes.getOrDefault(instance, -1));
        if (event instanceof Event.Started) {
            schedulers.put(instance, new RequestScheduler());
            writtenByInstance.put(instance, new ArrayList<>());
            queueLengthIndexes.put(instance, EventReader.queueLengthIndex(frame));
            events.clear();
        }
        if (event != null) {
            events.add(event);
        }
    }

    private Event readEndpointList(Frame first) throws IOException {
        long count = first.longValue(3);
        List<Event.Target> targets = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            targets.add(EventReader.readTarget(readInBatch()));
        }
        return EventReader.readList(first, targets);
    }

    private String reply(long now, Map<String, List<Event>> eventsByInstance) {
        StringBuilder text = new StringBuilder();
        eventsByInstance.forEach(
                (instance, events) -> {
                    RequestScheduler scheduler = schedulers.get(instance);
                    if (scheduler == null || events.isEmpty()) {
                        return;
                    }
                    text.append("CONTEXT\t").append(instance).append('\n');
                    try {
                        List<Event> written = writtenByInstance.get(instance);
                        events.addAll(0, written);
                        written.clear();
                        for (Action action : scheduler.decide(now, events)) {
                            ActionWriter.write(action, text);
                            if (action instanceof Action.SendAttempt attempt) {
                                written.add(new Event.AttemptWritten(attempt.id(), now));
                            }
                        }
                    } catch (RuntimeException e) {
                        StackTraceElement[] trace = e.getStackTrace();
                        String cause = e + (trace.length > 0 ? " at " + trace[0] : "");
                        text.append("GIVE_IN\t").append(cause.replaceAll("\\s+", " ")).append('\n');
                    }
                });
        return text.append("DONE\n").toString();
    }

    private Frame readInBatch() throws IOException {
        Frame frame = read();
        if (frame == null) {
            throw new MalformedFrameException(line, "input ended inside a batch");
        }
        return frame;
    }

    /** Returns the next line that is not blank, or null at the end of the input. */
    private Frame read() throws IOException {
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            line++;
            if (!text.isBlank()) {
                return Frame.of(line, text);
            }
        }
        return null;
    }
}
