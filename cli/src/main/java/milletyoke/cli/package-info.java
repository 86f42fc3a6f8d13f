/**
 * The command line: one class a command, parsed by picocli. {@code serve} and {@code practise}
 * start without the parser, because its classes would double the time to start. Commands run on the
 * main thread.
 */
package milletyoke.cli;
