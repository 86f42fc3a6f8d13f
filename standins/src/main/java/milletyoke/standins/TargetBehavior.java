package milletyoke.standins;

/**
 * What a target stand-in is like. Times are microseconds.
 *
 * @param cores accesses run at once
 * @param speed of a core, 1 for the yardstick
 * @param unit work of one unit at speed 1
 * @param room accesses that may wait beside those that run; what is beyond is told to be full
 * @param connections most that it accepts
 * @param extents the last so many pieces of data are remembered: an access to one of them costs
 *     less
 * @param extentSaves by this part
 * @param putOff this part of a write's work is done later, in one go
 * @param putOffEvery every so long
 * @param pauseEvery it stands still about so often, 0 for never
 * @param pause for so long
 * @param coldShare the part of its capacity with which it starts
 * @param warm after this it has all of it
 * @param tipMultiple sent more than this multiple of what it can do at the moment
 * @param fall for so long, it falls over
 * @param tells its waiting accesses in answers and on probes
 * @param dropsCancelled a cancel takes a waiting access away
 * @param crowd each access that waits adds this part to the work of one that begins
 * @param connecting all its cores are held for so long by each new connection (microseconds)
 * @param warmUnits it is warm once it has done so many units, if that is before its time; 0 for by
 *     time alone
 * @param work how the work of one access varies round its mean
 */
public record TargetBehavior(
        int cores,
        double speed,
        long unit,
        int room,
        int connections,
        int extents,
        double extentSaves,
        double putOff,
        long putOffEvery,
        long pauseEvery,
        long pause,
        double coldShare,
        long warm,
        double tipMultiple,
        long fall,
        boolean tells,
        boolean dropsCancelled,
        double crowd,
        long connecting,
        double warmUnits,
        Work work) {

    /**
     * One that loses nothing in a crowd, takes connections for nothing and warms up by time alone.
     */
    public TargetBehavior(
            int cores,
            double speed,
            long unit,
            int room,
            int connections,
            int extents,
            double extentSaves,
            double putOff,
            long putOffEvery,
            long pauseEvery,
            long pause,
            double coldShare,
            long warm,
            double tipMultiple,
            long fall,
            boolean tells,
            boolean dropsCancelled) {
        this(
                cores,
                speed,
                unit,
                room,
                connections,
                extents,
                extentSaves,
                putOff,
                putOffEvery,
                pauseEvery,
                pause,
                coldShare,
                warm,
                tipMultiple,
                fall,
                tells,
                dropsCancelled,
                0,
                0,
                0,
                Work.EVEN);
    }

    /** Units a second when warm and undisturbed. */
    public double capacity() {
        return cores * speed * 1e6 / unit;
    }
}
