package milletyoke.gateway.loop;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** One initiator's counts since its start; any thread may add and read. */
public final class Counts {
    private final Map<Count, LongAdder> all = new EnumMap<>(Count.class);

    public Counts() {
        for (Count count : Count.values()) {
            all.put(count, new LongAdder());
        }
    }

    public void add(Count count) {
        all.get(count).increment();
    }

    public long of(Count count) {
        return all.get(count).sum();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        all.forEach(
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
