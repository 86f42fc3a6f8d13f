package milletyoke.simhost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;

/** Maps the simulator's messages to the scheduler's events. */
final class EventReader {
    private EventReader() {}

    /**
     * Reads the event of one line; null for a message that the scheduler has no use for.
     *
     * @param queueLengthIndex of {@link #queueLengthIndex}
     */
    static Event read(Frame frame, int queueLengthIndex) {
        return switch (frame.type()) {
            case "ENLIST" -> new Event.Started(frame.whole(1), SettingsReader.read(frame.json(2)));
            case "ACCEPT" ->
                    new Event.RequestReceived(
                            frame.text(1),
                            (int) frame.number(2, -1),
                            frame.text(3),
                            frame.text(4),
                            frame.whole(5),
                            frame.text(6),
                            frame.text(7),
                            (int) frame.number(8, 1),
                            frame.number(9, 1));
            case "FINISHED" ->
                    new Event.AttemptEnded(
                            frame.text(1),
                            (int) frame.whole(2),
                            frame.whole(3) != 0,
                            outcome(frame.whole(4), frame),
                            frame.whole(6));
            case "PROBED" ->
                    new Event.ProbeEnded(
                            frame.text(1),
                            outcome(frame.whole(2), frame),
                            frame.whole(3),
                            frame.listItem(4, queueLengthIndex));
            case "FIRED" -> new Event.WakeUp();
            case "STREAMING", "ABORTED" -> new Event.RequestClosed(frame.text(1));
            default -> null;
        };
    }

    /** The endpoint list that this line starts, with the targets of the lines after it. */
    static Event.EndpointListReceived readList(Frame frame, List<Event.Target> targets) {
        Event.ListScope scope =
                switch (String.valueOf(frame.text(2))) {
                    case "update" -> Event.ListScope.UPDATE;
                    case "replace" -> Event.ListScope.REPLACE;
                    case "restored" -> Event.ListScope.RESTORED;
                    case "unavailable" -> Event.ListScope.UNAVAILABLE;
                    default -> throw frame.malformed("unknown scope " + frame.text(2));
                };
        return new Event.EndpointListReceived(scope, targets);
    }

    /** One target of an endpoint list. */
    static Event.Target readTarget(Frame frame) {
        if (!frame.type().equals("M")) {
            throw frame.malformed("a target was expected, not " + frame.type());
        }
        Event.Health health =
                switch (String.valueOf(frame.text(5))) {
                    case "on" -> Event.Health.ACTIVE;
                    case "fading" -> Event.Health.DRAINING;
                    case "off" -> Event.Health.REMOVED;
                    default -> throw frame.malformed("unknown health " + frame.text(5));
                };
        return new Event.Target(
                (int) frame.number(1, -1), frame.text(3), frame.text(4), health, frame.whole(6));
    }

    /** The index of the queue length among the values of a load report; -1 for none. */
    static int queueLengthIndex(Frame enlist) {
        int index = 0;
        for (JsonNode field : enlist.json(2).path("report").path("fields")) {
            if (field.asText().equals("backlog")) {
                return index;
            }
            index++;
        }
        return -1;
    }

    private static Outcome outcome(long code, Frame frame) {
        return switch ((int) code) {
            case 0 -> Outcome.SUCCEEDED;
            case 13 -> Outcome.ERROR;
            case 8 -> Outcome.OVERLOADED;
            case 4 -> Outcome.TIMED_OUT;
            case 14 -> Outcome.NO_CONNECTION;
            case 10 -> Outcome.RESET;
            case 1 -> Outcome.CANCELLED;
            case 9 -> Outcome.NOT_STARTED;
            default -> throw frame.malformed("unknown outcome " + code);
        };
    }
}
