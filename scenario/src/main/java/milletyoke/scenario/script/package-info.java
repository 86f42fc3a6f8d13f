/**
 * Parses scenario scripts into immutable values and reports errors with file and line. No state is
 * shared between threads.
 */
package milletyoke.scenario.script;
