/**
 * The command {@code simulate} and its subcommands: scenarios, experiments and fault searches in
 * virtual time. Single runs use the main thread; experiments and searches use a fixed thread pool.
 */
package milletyoke.cli.simulation;
