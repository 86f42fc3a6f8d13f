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
 * Hosts many instances on the simulator's wire: one fresh module for each start, nothing shared
 * among them.
 */
public final class SimHost {
    private final BufferedReader in;
    private final Writer out;
    private final Map<String, RequestScheduler> instances = new HashMap<>();
    private final Map<String, Integer> waitingAt = new HashMap<>();
    private long line;

    public SimHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    public void run() throws IOException {
        for (Codec.Fields f = read(); f != null; f = read()) {
            if (!f.word().equals("BATCH")) {
                throw f.wrong("BATCH was expected, not " + f.word());
            }
            out.write(reply(f.whole(1), batch()));
            out.flush();
        }
    }

    /**
     * The events of one batch by instance; a kill forgets the instance together with what came
     * before it.
     */
    private Map<String, List<Event>> batch() throws IOException {
        Map<String, List<Event>> happened = new LinkedHashMap<>();
        String instance = null;
        for (Codec.Fields f = inBatch(); !f.word().equals("END"); f = inBatch()) {
            if (f.word().equals("ABOUT")) {
                instance = f.text(1);
                continue;
            }
            if (instance == null) {
                throw f.wrong(f.word() + " before any ABOUT");
            }
            List<Event> events = happened.computeIfAbsent(instance, i -> new ArrayList<>());
            switch (f.word()) {
                case "SHUTDOWN" -> {
                    instances.remove(instance);
                    events.clear();
                }
                case "FLEET" -> events.add(fleet(f));
                default -> add(events, f, instance);
            }
        }
        return happened;
    }

    private void add(List<Event> events, Codec.Fields f, String instance) {
        Event event = Codec.event(f, waitingAt.getOrDefault(instance, -1));
        if (event instanceof Event.Started) {
            instances.put(instance, new RequestScheduler());
            waitingAt.put(instance, Codec.waitingAt(f));
            events.clear();
        }
        if (event != null) {
            events.add(event);
        }
    }

    private Event fleet(Codec.Fields head) throws IOException {
        long count = head.whole(3);
        List<Event.Target> targets = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            targets.add(Codec.target(inBatch()));
        }
        return Codec.list(head, targets);
    }

    private String reply(long now, Map<String, List<Event>> happened) {
        StringBuilder text = new StringBuilder();
        happened.forEach(
                (instance, events) -> {
                    RequestScheduler module = instances.get(instance);
                    if (module == null || events.isEmpty()) {
                        return;
                    }
                    text.append("CONTEXT\t").append(instance).append('\n');
                    try {
                        module.decide(now, events).forEach(action -> Codec.write(action, text));
                    } catch (RuntimeException fault) {
                        StackTraceElement[] at = fault.getStackTrace();
                        String cause = fault + (at.length > 0 ? " at " + at[0] : "");
                        text.append("GIVE_IN\t").append(cause.replaceAll("\\s+", " ")).append('\n');
                    }
                });
        return text.append("DONE\n").toString();
    }

    private Codec.Fields inBatch() throws IOException {
        Codec.Fields f = read();
        if (f == null) {
            throw new MalformedFrameException(line, "the input ends inside a batch");
        }
        return f;
    }

    /** The next line that holds something, or null at the end of input. */
    private Codec.Fields read() throws IOException {
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            line++;
            if (!text.isBlank()) {
                return Codec.Fields.of(line, text);
            }
        }
        return null;
    }
}
