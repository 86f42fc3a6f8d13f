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
import milletyoke.scheduler.api.Event;

/**
 * Hosts many schedulers behind the simulator's wire: a new scheduler for each start of an
 * initiator, nothing shared among them. One thread.
 */
public final class SimHost {
    private final BufferedReader in;
    private final Writer out;
    private final Map<String, RequestScheduler> schedulers = new HashMap<>();
    private final Map<String, Integer> queueLengthIndexes = new HashMap<>();
    private long line;

    /** A host that reads frames from {@code in} and writes replies to {@code out}. */
    public SimHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Answers batch after batch until the input ends.
     *
     * @throws MalformedFrameException for input that is not of the wire
     */
    public void run() throws IOException {
        for (Frame frame = read(); frame != null; frame = read()) {
            if (!frame.type().equals("BATCH")) {
                throw frame.malformed("BATCH was expected, not " + frame.type());
            }
            out.write(reply(frame.whole(1), batch()));
            out.flush();
        }
    }

    /**
     * The events of one batch by instance; a kill drops the instance together with what came before
     * it.
     */
    private Map<String, List<Event>> batch() throws IOException {
        Map<String, List<Event>> eventsByInstance = new LinkedHashMap<>();
        String instance = null;
        for (Frame frame = readInBatch(); !frame.type().equals("END"); frame = readInBatch()) {
            if (frame.type().equals("ABOUT")) {
                instance = frame.text(1);
                continue;
            }
            if (instance == null) {
                throw frame.malformed(frame.type() + " before any ABOUT");
            }
            List<Event> events = eventsByInstance.computeIfAbsent(instance, i -> new ArrayList<>());
            switch (frame.type()) {
                case "SHUTDOWN" -> {
                    schedulers.remove(instance);
                    events.clear();
                }
                case "FLEET" -> events.add(fleet(frame));
                default -> add(events, frame, instance);
            }
        }
        return eventsByInstance;
    }

    private void add(List<Event> events, Frame frame, String instance) {
        Event event = EventReader.read(frame, queueLengthIndexes.getOrDefault(instance, -1));
        if (event instanceof Event.Started) {
            schedulers.put(instance, new RequestScheduler());
            queueLengthIndexes.put(instance, EventReader.queueLengthIndex(frame));
            events.clear();
        }
        if (event != null) {
            events.add(event);
        }
    }

    private Event fleet(Frame head) throws IOException {
        long count = head.whole(3);
        List<Event.Target> targets = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            targets.add(EventReader.readTarget(readInBatch()));
        }
        return EventReader.readList(head, targets);
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
                        scheduler
                                .decide(now, events)
                                .forEach(action -> ActionWriter.write(action, text));
                    } catch (RuntimeException fault) {
                        StackTraceElement[] at = fault.getStackTrace();
                        String cause = fault + (at.length > 0 ? " at " + at[0] : "");
                        text.append("GIVE_IN\t").append(cause.replaceAll("\\s+", " ")).append('\n');
                    }
                });
        return text.append("DONE\n").toString();
    }

    private Frame readInBatch() throws IOException {
        Frame frame = read();
        if (frame == null) {
            throw new MalformedFrameException(line, "the input ends inside a batch");
        }
        return frame;
    }

    /** The next line that is not blank, or null at the end of input. */
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
