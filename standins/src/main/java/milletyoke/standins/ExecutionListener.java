package milletyoke.standins;

import milletyoke.wire.proto.Note;

/** Hears what a stand-in does on no connection. */
@FunctionalInterface
public interface ExecutionListener {
    ExecutionListener NONE = (who, kind, text, figure) -> {};

    void note(String who, Note.Kind kind, String text, double figure);
}
