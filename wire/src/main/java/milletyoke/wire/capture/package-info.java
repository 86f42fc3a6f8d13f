/**
 * Reads and writes traffic captures: the requests that one initiator received, without their
 * payloads, in a compact file for replay.
 *
 * <p>I/O threads add requests to a block in memory; a background thread of the owner writes blocks.
 */
package milletyoke.wire.capture;
