/**
 * Determines the lifecycle state of one process from its events.
 *
 * <p>The package has no threads of its own; each lifecycle is confined to one thread.
 */
package milletyoke.lifecycle;
