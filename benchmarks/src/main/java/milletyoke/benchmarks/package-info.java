/** JMH benchmarks of the scheduler, single-threaded and in virtual time. */
package milletyoke.benchmarks;
