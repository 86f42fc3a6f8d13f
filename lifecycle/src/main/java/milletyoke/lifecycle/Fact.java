package milletyoke.lifecycle;

/** What bears on a daemon's condition. */
public sealed interface Fact {
    /** The list came, or was restored from before; {@code usable} targets in it may be sent to. */
    record Listed(int usable, boolean restored) implements Fact {}

    /** Discovery cannot be reached, or refuses. */
    record ListUnavailable() implements Fact {}

    /** The part of places or bytes taken, whichever is more, 0 to 1. */
    record Used(double part) implements Fact {}

    record Drain(String who) implements Fact {}

    record Undrain(String who) implements Fact {}

    /** The process was asked to end. */
    record Leave() implements Fact {}

    /** Time passed. */
    record Tick() implements Fact {}
}
