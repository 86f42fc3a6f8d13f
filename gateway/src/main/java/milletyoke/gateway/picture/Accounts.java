package milletyoke.gateway.picture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReferenceArray;
import milletyoke.gateway.picture.Picture.Second;
import milletyoke.gateway.picture.Picture.Tally;
import milletyoke.port.Provisioning;
import org.HdrHistogram.Histogram;

/**
 * What was asked and got, by category, plan, volume and target: sums since the start, and a ring of seconds for fifteen
 * minutes. Owned by the loop; the ring's rows are immutable and may be read by anybody.
 *
 * <p>Bounded whatever clients name: {@value #MOST_VOLUMES} volumes have sums, the least recently asked make room;
 * {@value #MOST_SERIES} volumes and as many targets have a series, those of a second that come beyond are counted under
 * {@code others}.
 */
public final class Accounts {
    public static final int SECONDS = 900;
    static final int MOST_VOLUMES = 10_000, MOST_SERIES = 128;
    private static final long LONGEST = 60_000_000;

    /** One second of all series; keys are category:, plan:, volume: and target: with a name. */
    public record Row(long second, Map<String, Second> series) {}

    /** Sums that grow, and the second in the making. */
    private static final class Account {
        long asked, answered, inTime, rejected, brokenOff;

        Tally tally() {
            return new Tally(asked, answered, inTime, rejected, brokenOff);
        }
    }

    private static final class Series {
        int asked, answered, inTime, rejected, brokenOff;
        final Histogram times = new Histogram(LONGEST, 2);

        Second close() {
            Second s = new Second(asked, answered, inTime, rejected, brokenOff,
                    (int) times.getValueAtPercentile(50), (int) times.getValueAtPercentile(99));
            asked = answered = inTime = rejected = brokenOff = 0;
            times.reset();
            return s;
        }

        boolean isEmpty() {
            return asked + answered + rejected + brokenOff == 0;
        }
    }

    /** A volume's account and what else is told of it. */
    static final class OfVolume {
        final String plan;
        final Account account = new Account();
        long lastAsked;
        int held;

        OfVolume(String plan) {
            this.plan = plan;
        }

        Tally tally() {
            return account.tally();
        }
    }

    private final Map<String, Long> agreed = new HashMap<>();
    private final Map<String, Account> categories = new LinkedHashMap<>();
    private final Map<String, Account> plans = new LinkedHashMap<>();
    private final Map<String, Account> targets = new LinkedHashMap<>();
    private final LinkedHashMap<String, OfVolume> volumes = new LinkedHashMap<>(64, 0.75f, true);
    private final Set<String> dirty = new LinkedHashSet<>();
    private final List<String> forgotten = new ArrayList<>();
    private final Map<String, Series> series = new HashMap<>();
    private final Map<String, Integer> seriesOfKind = new HashMap<>();
    private final AtomicReferenceArray<Row> ring = new AtomicReferenceArray<>(SECONDS);
    private long second = -1;

    public Accounts(Provisioning given) {
        provision(given);
    }

    /** Takes new categories and plans; those there are keep their sums. */
    public void provision(Provisioning given) {
        given.categories().forEach(c -> {
            agreed.put(c.name(), c.agreedTime());
            categories.putIfAbsent(c.name(), new Account());
        });
        given.plans().forEach(p -> plans.putIfAbsent(p.name(), new Account()));
    }

    /** How one access ended for its client. */
    public enum End { ANSWERED, REJECTED, BROKEN_OFF, LEFT }

    public void asked(long now, String category, String plan, String volume) {
        turn(now);
        count(categories.get(category), series("category:", category), a -> a.asked++, s -> s.asked++);
        count(plans.get(plan), series("plan:", plan), a -> a.asked++, s -> s.asked++);
        OfVolume v = volumes.computeIfAbsent(volume, x -> new OfVolume(plan));
        v.lastAsked = now;
        v.held++;
        count(v.account, series("volume:", volume), a -> a.asked++, s -> s.asked++);
        dirty.add(volume);
        makeRoom();
    }

    /** @param took microseconds from its coming in */
    public void ended(long now, String category, String plan, String volume, End how, long took) {
        turn(now);
        boolean inTime = how == End.ANSWERED && took <= agreed.get(category);
        end(categories.get(category), series("category:", category), how, inTime, took);
        end(plans.get(plan), series("plan:", plan), how, inTime, took);
        OfVolume v = volumes.get(volume);
        if (v != null) {
            v.held--;
            end(v.account, series("volume:", volume), how, inTime, took);
            dirty.add(volume);
        }
    }

    public void relayed(long now, String target) {
        turn(now);
        Account a = targets.size() < 4 * MOST_SERIES ? targets.computeIfAbsent(target, t -> new Account())
                : targets.get(target);
        count(a, series("target:", target), x -> x.asked++, s -> s.asked++);
    }

    /** @param lag microseconds */
    public void relayEnded(long now, String target, End how, long lag) {
        turn(now);
        end(targets.get(target), series("target:", target), how, how == End.ANSWERED, lag);
    }

    private interface OnAccount {
        void add(Account a);
    }

    private interface OnSeries {
        void add(Series s);
    }

    private static void count(Account account, Series of, OnAccount sum, OnSeries now) {
        if (account != null) {
            sum.add(account);
        }
        now.add(of);
    }

    private static void end(Account account, Series of, End how, boolean inTime, long took) {
        switch (how) {
            case ANSWERED -> {
                count(account, of, a -> a.answered++, s -> s.answered++);
                if (inTime) {
                    count(account, of, a -> a.inTime++, s -> s.inTime++);
                }
                of.times.recordValue(Math.min(LONGEST, Math.max(0, took)));
            }
            case REJECTED -> count(account, of, a -> a.rejected++, s -> s.rejected++);
            case BROKEN_OFF -> count(account, of, a -> a.brokenOff++, s -> s.brokenOff++);
            case LEFT -> { }
        }
    }

    private Series series(String kind, String name) {
        Series known = series.get(kind + name);
        if (known != null) {
            return known;
        }
        boolean room = seriesOfKind.merge(kind, 1, Integer::sum) <= MOST_SERIES;
        if (!room) {
            seriesOfKind.merge(kind, -1, Integer::sum);
        }
        return series.computeIfAbsent(room ? kind + name : kind + "others", k -> new Series());
    }

    private void makeRoom() {
        if (volumes.size() > MOST_VOLUMES) {
            String eldest = volumes.keySet().iterator().next();
            volumes.remove(eldest);
            dirty.remove(eldest);
            forgotten.add(eldest);
        }
    }

    /** Closes the seconds that are over. A series that had nothing in its second gives its slot back. */
    public void turn(long now) {
        long current = now / 1_000_000;
        if (second == current) {
            return;
        }
        if (second >= 0) {
            Map<String, Second> row = new TreeMap<>();
            series.forEach((key, s) -> {
                if (!s.isEmpty()) {
                    row.put(key, s.close());
                }
            });
            series.keySet().removeIf(key -> {
                boolean idle = !row.containsKey(key);
                if (idle && !key.endsWith(":others")) {
                    seriesOfKind.merge(key.substring(0, key.indexOf(':') + 1), -1, Integer::sum);
                }
                return idle;
            });
            ring.set((int) (second % SECONDS), new Row(second, Map.copyOf(row)));
        }
        second = current;
    }

    // ---- Reading ----

    /** The rows of the last so many whole seconds, oldest first; seconds in which nothing happened have none. */
    public List<Row> rows(long now, int seconds) {
        List<Row> rows = new ArrayList<>();
        long last = now / 1_000_000 - 1;
        for (long s = last - Math.min(SECONDS - 1, seconds) + 1; s <= last; s++) {
            Row row = s < 0 ? null : ring.get((int) (s % SECONDS));
            if (row != null && row.second() == s) {
                rows.add(row);
            }
        }
        return rows;
    }

    Map<String, Tally> categories() {
        return tallies(categories);
    }

    Map<String, Tally> plans() {
        return tallies(plans);
    }

    private static Map<String, Tally> tallies(Map<String, Account> accounts) {
        Map<String, Tally> all = new LinkedHashMap<>();
        accounts.forEach((name, a) -> all.put(name, a.tally()));
        return java.util.Collections.unmodifiableMap(all);
    }

    Tally target(String id) {
        Account a = targets.get(id);
        return a == null ? Tally.NONE : a.tally();
    }

    /** Forgets a target that is listed no longer. */
    void forgetTarget(String id) {
        targets.remove(id);
    }

    /** Takes up to so many volumes that changed. */
    List<String> takeDirty(int most) {
        List<String> some = new ArrayList<>(Math.min(most, dirty.size()));
        var each = dirty.iterator();
        while (each.hasNext() && some.size() < most) {
            some.add(each.next());
            each.remove();
        }
        return some;
    }

    int dirty() {
        return dirty.size();
    }

    /** Takes the volumes that made room for others. */
    List<String> takeForgotten() {
        List<String> gone = new ArrayList<>(forgotten);
        forgotten.clear();
        return gone;
    }

    /** Null where it is not known, or made room for others. */
    OfVolume volume(String name) {
        return volumes.get(name);
    }
}
