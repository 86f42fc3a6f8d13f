package milletyoke.gateway.loop;

import milletyoke.wire.Connection;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Request;

/** What other threads tell the loop, in the order in which each of them tells it. */
public sealed interface LoopMessage {
    /**
     * @param receivedAtMicros when it came in, on the loop's clock: its time runs from then,
     *     however long it waits for the loop
     */
    record RequestReceived(Connection client, Request request, long receivedAtMicros)
            implements LoopMessage {}

    /** The client no longer waits for one access. */
    record RequestCancelled(Connection client, long number) implements LoopMessage {}

    /** The client's connection is gone. */
    record ClientDisconnected(Connection client) implements LoopMessage {}

    record ConnectSucceeded(String target, long connectNumber, Connection connection)
            implements LoopMessage {}

    record ConnectFailed(String target, long connectNumber, String reason) implements LoopMessage {}

    /**
     * @param refused the target said that it took nothing of what was sent there
     * @param unwritten the relay or probe whose last byte provably never left this machine; 0 for
     *     none
     */
    record ConnectionLost(
            String target, Connection connection, String reason, boolean refused, long unwritten)
            implements LoopMessage {}

    /**
     * @param receivedAtMicros when its last byte was read, on the loop's clock: the loop may get to
     *     it later
     */
    record AttemptReplied(Connection connection, AttemptReply reply, long receivedAtMicros)
            implements LoopMessage {}

    /**
     * @param receivedAtMicros as for a reply
     */
    record ProbeReplied(Connection connection, long number, Load load, long receivedAtMicros)
            implements LoopMessage {}

    record EndpointListReceived(EndpointList list) implements LoopMessage {}

    record DiscoveryUnavailable(String reason) implements LoopMessage {}

    /** Take nothing new; the loop ends once every access held has its answer. */
    record BeginShutdown() implements LoopMessage {}

    /** An operator takes this initiator out of service, or puts it back. */
    record DrainInitiator(boolean drained, String operator) implements LoopMessage {}

    /** An operator takes a target out of service for this initiator alone, or puts it back. */
    record DrainTarget(String target, boolean drained, String operator) implements LoopMessage {}

    /** A new version of the configuration holds from now on. */
    record ApplySettings(milletyoke.scheduler.api.SchedulerSettings settings)
            implements LoopMessage {}

    /** Anything else that must happen on the loop's thread. */
    record RunTask(Runnable task) implements LoopMessage {}
}
