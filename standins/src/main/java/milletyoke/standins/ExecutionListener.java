package milletyoke.standins;

import milletyoke.wire.proto.Note;

/**
 * Receives events of a stand-in that are not visible in frames. Called on any thread, possibly with
 * locks of the stand-in held.
 */
@FunctionalInterface
public interface ExecutionListener {
    /** Ignores every event. */
    ExecutionListener NONE = (name, kind, text, value) -> {};

    /**
     * Reports an event.
     *
     * @param name the id of the stand-in
     * @param kind the type of event, which defines the meaning of the other two parameters
     * @param text details of the event, or empty
     * @param value a number that belongs to the event, or 0
     */
    void note(String name, Note.Kind kind, String text, double value);
}
