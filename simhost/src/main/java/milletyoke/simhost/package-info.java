/**
 * Connects the scheduler to an external simulator: reads frames from standard input, maps them to
 * the scheduler's events and settings, and writes its actions as frames to standard output.
 * Everything runs on one thread.
 */
package milletyoke.simhost;
