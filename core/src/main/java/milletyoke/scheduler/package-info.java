/**
 * The scheduler of one initiator: decides when and at which target each request is attempted, and
 * which final response its client gets. It has no threads, clock or I/O of its own: {@link
 * milletyoke.scheduler.RequestScheduler} is called by one thread at a time and returns the actions
 * for its caller to carry out. The same events at the same times always give the same actions.
 */
package milletyoke.scheduler;
