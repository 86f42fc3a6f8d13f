/**
 * The interface of a scheduler: the events it processes, the actions it returns and the settings it
 * follows. All types are immutable values without behavior and safe for use by any thread.
 */
package milletyoke.scheduler.api;
