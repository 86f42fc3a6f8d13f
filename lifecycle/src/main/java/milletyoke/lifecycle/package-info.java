/**
 * The lifecycle of one process: from its events to its state.
 *
 * <p>Threads: none of its own; one thread owns each lifecycle.
 */
package milletyoke.lifecycle;
