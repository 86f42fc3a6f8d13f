/**
 * The interface of a scheduler: the events that it takes, the actions that it returns and the
 * settings that it follows. Immutable values without behaviour, to be used by any thread.
 */
package milletyoke.scheduler.api;
