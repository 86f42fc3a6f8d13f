/**
 * Random fault scenarios: generating them, searching for the worst and shrinking it. A search
 * evaluates its scenarios on a fixed pool of worker threads.
 */
package milletyoke.simulation.faults;
