/**
 * The command line: one class per command, parsed by picocli. {@code serve} and {@code practise}
 * start without the parser, whose classes would double the start-up time. Commands run on the main
 * thread.
 */
package milletyoke.cli;
