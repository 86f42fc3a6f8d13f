/**
 * Commands that query or operate a running initiator through its console's HTTP API. Each command
 * sends one request on the main thread and prints the reply.
 */
package milletyoke.cli.admin;
