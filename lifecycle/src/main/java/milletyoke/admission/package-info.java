/**
 * Limits the requests that one process admits, by slots, payload bytes and volume names in use.
 *
 * <p>The package has no threads of its own; the caller serializes the calls.
 */
package milletyoke.admission;
