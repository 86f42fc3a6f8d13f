package milletyoke.simhost;

import milletyoke.scheduler.api.Action;

/** Writes the scheduler's actions as frames for the simulator. */
final class ActionWriter {
    private ActionWriter() {}

    /** Appends the frame of one action, ended by a newline. */
    static void write(Action action, StringBuilder out) {
        if (action instanceof Action.SendAttempt send) {
            out.append("TRANSMIT\t")
                    .append(send.id())
                    .append('\t')
                    .append(send.deadlineMicros())
                    .append('\t')
                    .append(send.target());
        } else if (action instanceof Action.Reject reject) {
            out.append("DECLINE\t")
                    .append(reject.id())
                    .append('\t')
                    .append(reject.retryAfterMicros());
        } else if (action instanceof Action.Fail fail) {
            out.append("RESPOND_ERROR\t").append(fail.id());
        } else if (action instanceof Action.CancelAttempt cancel) {
            out.append("RETRACT\t").append(cancel.id()).append('\t').append(cancel.attemptNumber());
        } else if (action instanceof Action.SendProbe probe) {
            out.append("TOUCH\t").append(probe.target());
        } else if (action instanceof Action.ScheduleWakeUp wakeUp) {
            out.append("REMIND\t").append(wakeUp.delayMicros()).append("\t0");
        } else if (action instanceof Action.WatchEndpoints) {
            out.append("TAIL\t1");
        }
        out.append('\n');
    }
}
