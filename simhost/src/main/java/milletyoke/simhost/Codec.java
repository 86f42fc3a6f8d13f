package milletyoke.simhost;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;

/** The simulator's words and numbers on one side, the interface's on the other. */
final class Codec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ABSENT = "-";

    private Codec() {}

    /** Reads one event line; null for a message this project has no use for. */
    static Event event(Fields f, int waitingAt) {
        return switch (f.word()) {
            case "ENLIST" -> new Event.Started(f.whole(1), provisioning(f.json(2)));
            case "ACCEPT" ->
                    new Event.RequestReceived(
                            f.text(1),
                            (int) f.number(2, -1),
                            f.text(3),
                            f.text(4),
                            f.whole(5),
                            f.text(6),
                            f.text(7),
                            (int) f.number(8, 1),
                            f.number(9, 1));
            case "FINISHED" ->
                    new Event.AttemptEnded(
                            f.text(1),
                            (int) f.whole(2),
                            f.whole(3) != 0,
                            outcome(f.whole(4), f),
                            f.whole(6));
            case "PROBED" ->
                    new Event.ProbeEnded(
                            f.text(1), outcome(f.whole(2), f), f.whole(3), f.part(4, waitingAt));
            case "FIRED" -> new Event.WakeUp();
            case "STREAMING", "ABORTED" -> new Event.RequestClosed(f.text(1));
            default -> null;
        };
    }

    static Event.EndpointListReceived list(Fields f, List<Event.Target> targets) {
        Event.ListScope scope =
                switch (String.valueOf(f.text(2))) {
                    case "update" -> Event.ListScope.UPDATE;
                    case "replace" -> Event.ListScope.REPLACE;
                    case "restored" -> Event.ListScope.RESTORED;
                    case "unavailable" -> Event.ListScope.UNAVAILABLE;
                    default -> throw f.wrong("unknown scope " + f.text(2));
                };
        return new Event.EndpointListReceived(scope, targets);
    }

    static Event.Target target(Fields f) {
        if (!f.word().equals("M")) {
            throw f.wrong("a target was expected, not " + f.word());
        }
        Event.Health health =
                switch (String.valueOf(f.text(5))) {
                    case "on" -> Event.Health.ACTIVE;
                    case "fading" -> Event.Health.DRAINING;
                    case "off" -> Event.Health.REMOVED;
                    default -> throw f.wrong("unknown health " + f.text(5));
                };
        return new Event.Target((int) f.number(1, -1), f.text(3), f.text(4), health, f.whole(6));
    }

    static void write(Action action, StringBuilder out) {
        if (action instanceof Action.SendAttempt a) {
            out.append("TRANSMIT\t")
                    .append(a.id())
                    .append('\t')
                    .append(a.deadlineMicros())
                    .append('\t')
                    .append(a.target());
        } else if (action instanceof Action.Reject a) {
            out.append("DECLINE\t").append(a.id()).append('\t').append(a.retryAfterMicros());
        } else if (action instanceof Action.Fail a) {
            out.append("RESPOND_ERROR\t").append(a.id());
        } else if (action instanceof Action.CancelAttempt a) {
            out.append("RETRACT\t").append(a.id()).append('\t').append(a.attemptNumber());
        } else if (action instanceof Action.SendProbe a) {
            out.append("TOUCH\t").append(a.target());
        } else if (action instanceof Action.ScheduleWakeUp a) {
            out.append("REMIND\t").append(a.delayMicros()).append("\t0");
        } else if (action instanceof Action.WatchEndpoints) {
            out.append("TAIL\t1");
        }
        out.append('\n');
    }

    /** Where in a load report the accesses waiting are told; -1 for nowhere. */
    static int waitingAt(Fields enlist) {
        int at = 0;
        for (JsonNode field : enlist.json(2).path("report").path("fields")) {
            if (field.asText().equals("backlog")) {
                return at;
            }
            at++;
        }
        return -1;
    }

    private static Outcome outcome(long code, Fields f) {
        return switch ((int) code) {
            case 0 -> Outcome.SUCCEEDED;
            case 13 -> Outcome.ERROR;
            case 8 -> Outcome.OVERLOADED;
            case 4 -> Outcome.TIMED_OUT;
            case 14 -> Outcome.NO_CONNECTION;
            case 10 -> Outcome.RESET;
            case 1 -> Outcome.CANCELLED;
            case 9 -> Outcome.NOT_STARTED;
            default -> throw f.wrong("unknown outcome " + code);
        };
    }

    private static SchedulerSettings provisioning(JsonNode s) {
        List<SchedulerSettings.RequestClass> categories = new ArrayList<>();
        for (JsonNode c : s.path("classes")) {
            categories.add(
                    new SchedulerSettings.RequestClass(
                            c.path("name").asText(),
                            repeats(c),
                            group(c),
                            whole(c, "repeatWindow"),
                            c.path("serialByKey").asBoolean(),
                            whole(c, "aim"),
                            c.path("points").asDouble()));
        }
        List<SchedulerSettings.ServicePlan> plans = new ArrayList<>();
        for (JsonNode p : s.path("policies")) {
            plans.add(
                    new SchedulerSettings.ServicePlan(
                            p.path("name").asText(),
                            p.path("reservation").asDouble(),
                            p.path("weight").asDouble(),
                            p.path("ceilingRate").asDouble(),
                            p.path("capDepth").asDouble(),
                            p.path("tolerance").asDouble()));
        }
        JsonNode l = s.path("limits");
        JsonNode r = s.path("rules");
        var allowances =
                new SchedulerSettings.Capabilities(
                        (int) whole(l, "maxAttempts"),
                        l.path("probes").asBoolean(),
                        l.path("mayCancel").asBoolean(),
                        l.path("retryAfter").asBoolean(),
                        whole(l, "maxRetryAfter"));
        var bounds =
                new SchedulerSettings.RuleLimits(
                        whole(r, "keyQuiet"),
                        whole(r, "cold"),
                        r.path("coldShare").asDouble(),
                        s.path("specifics").path("coldBears").asDouble(),
                        whole(r, "fall"),
                        r.path("tipMultiple").asDouble(),
                        r.path("budgetFree").asDouble(),
                        r.path("extraShare").asDouble(),
                        whole(r, "budgetSpan"),
                        whole(r, "mustAskIn"));
        return new SchedulerSettings(
                (int) whole(s, "balancers"),
                categories,
                plans,
                allowances,
                bounds,
                s.path("registryMode").asText().equals("subscribe"));
    }

    private static SchedulerSettings.Idempotency repeats(JsonNode c) {
        return switch (c.path("effect").asText()) {
            case "pure" -> SchedulerSettings.Idempotency.IDEMPOTENT;
            case "token" -> SchedulerSettings.Idempotency.IDEMPOTENCY_KEY;
            default -> SchedulerSettings.Idempotency.NON_IDEMPOTENT;
        };
    }

    private static SchedulerSettings.DeduplicationScope group(JsonNode c) {
        return switch (c.path("dedupScope").asText()) {
            case "all" -> SchedulerSettings.DeduplicationScope.ALL;
            case "zone" -> SchedulerSettings.DeduplicationScope.ZONE;
            default -> SchedulerSettings.DeduplicationScope.CELL;
        };
    }

    private static long whole(JsonNode parent, String key) {
        return Math.round(parent.path(key).asDouble());
    }

    /** One line's parts; an absent value has the meaning that the caller names. */
    record Fields(long line, String[] parts) {
        static Fields of(long line, String text) {
            boolean endsInText = text.startsWith("ENLIST\t");
            return new Fields(line, text.split("\t", endsInText ? 3 : -1));
        }

        String word() {
            return parts[0];
        }

        String text(int i) {
            return i >= parts.length || parts[i].equals(ABSENT) ? null : parts[i];
        }

        long whole(int i) {
            String value = text(i);
            try {
                return value == null ? 0 : Long.parseLong(value);
            } catch (NumberFormatException e) {
                throw wrong("not a whole number: " + value);
            }
        }

        double number(int i, double absent) {
            String value = text(i);
            try {
                return value == null ? absent : Double.parseDouble(value);
            } catch (NumberFormatException e) {
                throw wrong("not a number: " + value);
            }
        }

        /** One of the values of a row, -1 where it is not told. */
        double part(int i, int at) {
            String[] row = text(i) == null ? new String[0] : text(i).split(",");
            try {
                return at < 0 || at >= row.length ? -1 : Double.parseDouble(row[at]);
            } catch (NumberFormatException e) {
                return -1;
            }
        }

        JsonNode json(int i) {
            try {
                return JSON.readTree(i < parts.length ? parts[i] : "");
            } catch (JsonProcessingException e) {
                throw wrong("settings that are not JSON");
            }
        }

        MalformedFrameException wrong(String what) {
            return new MalformedFrameException(line, what);
        }
    }
}
