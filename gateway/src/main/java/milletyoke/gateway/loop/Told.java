package milletyoke.gateway.loop;

import milletyoke.wire.Line;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Reply;
import milletyoke.wire.proto.TargetList;

/** What other threads tell the loop, in the order in which each of them tells it. */
public sealed interface Told {
    /**
     * @param at when it came in, on the loop's clock: its time runs from then, however long it
     *     waits for the loop
     */
    record Taken(Line client, Access access, long at) implements Told {}

    /** The client no longer waits for one access. */
    record Left(Line client, long number) implements Told {}

    /** The client's connection is gone. */
    record ClientGone(Line client) implements Told {}

    record Dialled(String target, long dial, Line line) implements Told {}

    record DialFailed(String target, long dial, String why) implements Told {}

    /**
     * @param refused the target said that it took nothing of what was sent there
     * @param unwritten the relay or probe whose last byte provably never left this machine; 0 for
     *     none
     */
    record LinkLost(String target, Line line, String why, boolean refused, long unwritten)
            implements Told {}

    /**
     * @param at when its last byte was read, on the loop's clock: the loop may get to it later
     */
    record Replied(Line line, Reply reply, long at) implements Told {}

    /**
     * @param at as for a reply
     */
    record ProbeReplied(Line line, long number, Load load, long at) implements Told {}

    record Listed(TargetList list) implements Told {}

    record ListUnavailable(String why) implements Told {}

    /** Take nothing new; the loop ends once every access held has its answer. */
    record Leave() implements Told {}

    /** An operator takes this initiator out of service, or puts it back. */
    record Drain(boolean on, String who) implements Told {}

    /** An operator takes a target out of service for this initiator alone, or puts it back. */
    record DrainTarget(String target, boolean on, String who) implements Told {}

    /** A new version of the configuration holds from now on. */
    record Reprovision(milletyoke.port.Provisioning provisioning) implements Told {}

    /** Anything else that must happen on the loop's thread. */
    record Do(Runnable task) implements Told {}
}
