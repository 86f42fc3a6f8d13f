/**
 * Collects the status of one initiator: statistics of requests and attempts, and the immutable
 * snapshots that the console reads.
 *
 * <p>Statistics and snapshots are written only by the event loop; snapshots and the rows of past
 * seconds may be read by any thread.
 */
package milletyoke.gateway.status;
