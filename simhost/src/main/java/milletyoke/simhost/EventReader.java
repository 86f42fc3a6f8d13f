package milletyoke.simhost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;

/** Maps the simulator's frames to the scheduler's events. */
final class EventReader {
    private EventReader() {}

    /**
     * Reads the event of one frame. Returns null for a frame type that the scheduler does not use.
     *
     * @param queueLengthIndex the initiator's {@link #queueLengthIndex}
     */
    static Event read(Frame frame, int queueLengthIndex) {
        return switch (frame.type()) {
            case "ENLIST" ->
                    new Event.Started(frame.longValue(1), SettingsReader.read(frame.json(2)));
            case "ACCEPT" ->
                    new Event.RequestReceived(
                            frame.text(1),
                            (int) frame.doubleValue(2, -1),
                            frame.text(3),
                            frame.text(4),
                            frame.longValue(5),
                            frame.text(6),
                            frame.text(7),
                            (int) frame.doubleValue(8, 1),
                            frame.doubleValue(9, 1));
            case "FINISHED" ->
                    new Event.AttemptEnded(
                            frame.text(1),
                            (int) frame.longValue(2),
                            frame.longValue(3) != 0,
                            outcome(frame.longValue(4), frame),
                            frame.longValue(6));
            case "PROBED" ->
                    new Event.ProbeEnded(
                            frame.text(1),
                            outcome(frame.longValue(2), frame),
                            frame.longValue(3),
                            frame.listItem(4, queueLengthIndex));
            case "FIRED" -> new Event.WakeUp();
            case "STREAMING", "ABORTED" -> new Event.RequestClosed(frame.text(1));
            default -> null;
        };
    }

    /**
     * Combines the first frame of an endpoint list with the targets read from the frames after it.
     */
    static Event.EndpointListReceived readList(Frame frame, List<Event.Target> targets) {
        Event.ListScope scope =
                switch (String.valueOf(frame.text(2))) {
                    case "update" -> Event.ListScope.UPDATE;
                    case "replace" -> Event.ListScope.REPLACE;
                    case "restored" -> Event.ListScope.RESTORED;
                    case "unavailable" -> Event.ListScope.UNAVAILABLE;
                    default ->
                            throw frame.malformed("unknown endpoint list scope " + frame.text(2));
                };
        return new Event.EndpointListReceived(scope, targets);
    }

    /** Reads one target of an endpoint list. */
    static Event.Target readTarget(Frame frame) {
        if (!frame.type().equals("M")) {
            throw frame.malformed("expected M (a target), got " + frame.type());
        }
        Event.Health health =
                switch (String.valueOf(frame.text(5))) {
                    case "on" -> Event.Health.ACTIVE;
                    case "fading" -> Event.Health.DRAINING;
                    case "off" -> Event.Health.REMOVED;
                    default -> throw frame.malformed("unknown target health " + frame.text(5));
                };
        return new Event.Target(
                (int) frame.doubleValue(1, -1),
                frame.text(3),
                frame.text(4),
                health,
                frame.longValue(6));
    }

    /**
     * Returns the position of the queue length among the values of a load report, or -1 if reports
     * have no queue length.
     */
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
            default -> throw frame.malformed("unknown attempt outcome " + code);
        };
    }
}
