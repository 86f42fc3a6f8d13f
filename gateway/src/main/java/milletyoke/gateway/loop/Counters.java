package milletyoke.gateway.loop;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** One initiator's counts since its start; any thread may add and read. */
public final class Counters {
    private final Map<Counter, LongAdder> adders = new EnumMap<>(Counter.class);

    public Counters() {
        for (Counter count : Counter.values()) {
            adders.put(count, new LongAdder());
        }
    }

    public void increment(Counter count) {
        adders.get(count).increment();
    }

    public long get(Counter count) {
        return adders.get(count).sum();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        adders.forEach(
                (count, adder) -> {
                    if (adder.sum() > 0) {
                        text.append(text.isEmpty() ? "" : " ")
                                .append(count.name().toLowerCase())
                                .append('=')
                                .append(adder.sum());
                    }
                });
        return text.toString();
    }
}
