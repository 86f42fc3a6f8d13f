/**
 * The virtual-time implementation of the execution environment: clock, network and timers driven by
 * one event queue. An environment and everything it creates are used only by the thread of its
 * simulation.
 */
package milletyoke.simulation.environment;
