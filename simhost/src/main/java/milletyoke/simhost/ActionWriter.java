package milletyoke.simhost;

import milletyoke.scheduler.api.Action;

/** Maps the scheduler's actions to the simulator's messages. */
final class ActionWriter {
    private ActionWriter() {}

    /** Appends the line of one action. */
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
}
