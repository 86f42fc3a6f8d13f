/**
 * The virtual-time implementation of the environment: clock, network and timers driven by one event
 * queue. An environment and all that it creates are used by the one thread of its simulation.
 */
package milletyoke.simulation.environment;
