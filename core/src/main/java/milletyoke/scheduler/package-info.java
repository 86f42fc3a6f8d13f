/**
 * The scheduler of one initiator: which request is attempted when, at which target, and what answer
 * it gets in the end. It has no thread, clock, input or output of its own: {@link
 * milletyoke.scheduler.RequestScheduler} is called by one thread at a time, turn by turn, and
 * returns actions. Equal events at equal times give equal actions.
 */
package milletyoke.scheduler;
