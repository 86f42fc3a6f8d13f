/**
 * The adapter between the simulator and the scheduler: frames on standard input and output, mapped
 * to events, actions and settings. One thread.
 */
package milletyoke.simhost;
