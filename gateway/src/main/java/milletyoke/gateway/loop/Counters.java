package milletyoke.gateway.loop;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** The counters of one initiator since its start. Thread-safe. */
public final class Counters {
    private final Map<Counter, LongAdder> adders = new EnumMap<>(Counter.class);

    /** Creates counters that are all zero. */
    public Counters() {
        for (Counter counter : Counter.values()) {
            adders.put(counter, new LongAdder());
        }
    }

    /** Increments a counter by one. */
    public void increment(Counter counter) {
        adders.get(counter).increment();
    }

    /** Returns a counter's value. */
    public long get(Counter counter) {
        return adders.get(counter).sum();
    }

    /** Returns the counters that are not zero as {@code name=value}, separated by spaces. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        adders.forEach(
                (counter, adder) -> {
                    if (adder.sum() > 0) {
                        text.append(text.isEmpty() ? "" : " ")
                                .append(counter.name().toLowerCase(Locale.ROOT))
                                .append('=')
                                .append(adder.sum());
                    }
                });
        return text.toString();
    }
}
