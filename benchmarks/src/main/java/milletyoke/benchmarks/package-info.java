/** Benchmarks (JMH) of the scheduler alone, in virtual time, one thread. */
package milletyoke.benchmarks;
