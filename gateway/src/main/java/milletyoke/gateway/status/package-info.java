/**
 * The status of one initiator: statistics of requests and attempts, and the immutable snapshots
 * that the console reads.
 *
 * <p>Statistics and snapshots are written by the event loop alone; snapshots and the rows of past
 * seconds may be read by any thread.
 */
package milletyoke.gateway.status;
