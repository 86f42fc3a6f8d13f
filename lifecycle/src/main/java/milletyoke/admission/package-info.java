/**
 * Bounds what one process admits: slots, payload bytes and names in use.
 *
 * <p>Threads: none of its own; the caller serializes the calls.
 */
package milletyoke.admission;
