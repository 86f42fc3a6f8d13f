package milletyoke.scheduler;

import java.util.Map;

/**
 * Runs requests of one key one after another, in order of admission, with a quiet period after an
 * attempt that may still be executing.
 */
final class KeyOrdering {
    private final Map<String, KeySequence> sequences;
    private final DispatchQueue dispatchQueue;
    private final IdleStateEviction eviction;
    private final ActiveSettings settings;
    private final Turn turn;

    KeyOrdering(
            Map<String, KeySequence> sequences,
            DispatchQueue dispatchQueue,
            IdleStateEviction eviction,
            ActiveSettings settings,
            Turn turn) {
        this.sequences = sequences;
        this.dispatchQueue = dispatchQueue;
        this.eviction = eviction;
        this.settings = settings;
        this.turn = turn;
    }

    /** Appends an admitted request to the sequence of its key if its class is key-ordered. */
    void admit(PendingRequest request) {
        if (isOrdered(request)) {
            sequences
                    .computeIfAbsent(request.received.extent(), KeySequence::new)
                    .requests
                    .add(request);
        }
    }

    /** Returns whether a request is the next of its key and the quiet period of the key is over. */
    boolean isNextForKey(PendingRequest request) {
        KeySequence sequence = sequenceOf(request);
        if (sequence == null) {
            return true;
        }
        if (sequence.requests.first() != request) {
            return false;
        }
        boolean isQuiet = turn.now() < sequence.quietUntil;
        if (isQuiet) {
            turn.recheckBy(sequence.quietUntil);
        }
        return !isQuiet;
    }

    /** Starts the quiet period of a key, at the end of an attempt that may still be executing. */
    void startQuietPeriod(PendingRequest request) {
        KeySequence sequence = sequenceOf(request);
        if (sequence != null) {
            long until = turn.now() + settings.limits().keyQuietMicros();
            sequence.quietUntil = Math.max(sequence.quietUntil, until);
        }
    }

    /** Removes a request from the sequence of its key; the next one may then run. */
    void remove(PendingRequest request) {
        KeySequence sequence = sequenceOf(request);
        if (sequence != null) {
            dispatchQueue.removeFromKey(sequence, request);
            if (sequence.requests.isEmpty()) {
                eviction.scheduleKeyCheck(sequence);
            }
        }
    }

    private KeySequence sequenceOf(PendingRequest request) {
        return isOrdered(request) ? sequences.get(request.received.extent()) : null;
    }

    private static boolean isOrdered(PendingRequest request) {
        return request.requestClass.keyOrdered() && request.received.extent() != null;
    }
}
