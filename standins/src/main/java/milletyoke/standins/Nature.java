package milletyoke.standins;

/**
 * What a target stand-in is like. Times are microseconds.
 *
 * @param cores accesses run at once
 * @param speed of a core, 1 for the yardstick
 * @param unit work of one unit at speed 1
 * @param room accesses that may wait beside those that run; what is beyond is told to be full
 * @param connections most that it accepts
 * @param extents the last so many pieces of data are remembered: an access to one of them costs less
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
 */
public record Nature(int cores, double speed, long unit, int room, int connections, int extents, double extentSaves,
        double putOff, long putOffEvery, long pauseEvery, long pause, double coldShare, long warm, double tipMultiple,
        long fall, boolean tells, boolean dropsCancelled) {

    /** Units a second when warm and undisturbed. */
    public double capacity() {
        return cores * speed * 1e6 / unit;
    }
}
