/**
 * Random fault scenarios: generates them, searches for the worst and shrinks it. A search runs its
 * scenarios on a fixed pool of worker threads.
 */
package milletyoke.simulation.faults;
