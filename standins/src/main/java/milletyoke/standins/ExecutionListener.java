package milletyoke.standins;

import milletyoke.wire.proto.Note;

/** Hears of events of a stand-in that no frame shows. Called on any thread, under its locks. */
@FunctionalInterface
public interface ExecutionListener {
    /** Ignores every event. */
    ExecutionListener NONE = (name, kind, text, value) -> {};

    /**
     * Something happened.
     *
     * @param name of the stand-in
     * @param text and {@code value}: details, by kind
     */
    void note(String name, Note.Kind kind, String text, double value);
}
